/**
 * Removal of old entries from collections that keep the order in which entries were added.
 *
 * @module
 */

/** Removes and returns the entry that was added first, if a map has more than `maxSize` entries. */
export function evictOldest<K, V>(
  map: Map<K, V>,
  maxSize: number,
): V | undefined {
  const [oldest] = map;
  if (map.size <= maxSize || oldest === undefined) {
    return undefined;
  }
  const [key, value] = oldest;
  map.delete(key);
  return value;
}

/** Removes the leading items of a list, oldest first, that are no longer recent. */
export function evictUntil<T>(
  items: T[],
  isRecent: (item: T) => boolean,
): void {
  const first = items.findIndex(isRecent);
  items.splice(0, first === -1 ? items.length : first);
}
