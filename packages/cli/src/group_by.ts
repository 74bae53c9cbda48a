/**
 * Grouping of lists; `Map.groupBy` is newer than the Node.js that the tool runs on.
 *
 * @module
 */

/** Groups items by a key, in the order of their first appearance. */
export function groupBy<T, K>(
  items: Iterable<T>,
  keyOf: (item: T) => K,
): Map<K, T[]> {
  const groups = new Map<K, T[]>();
  for (const item of items) {
    const key = keyOf(item);
    const group = groups.get(key);
    if (group === undefined) {
      groups.set(key, [item]);
    } else {
      group.push(item);
    }
  }
  return groups;
}
