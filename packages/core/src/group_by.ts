/**
 * A substitute for `Map.groupBy`, which the oldest supported Node.js does not have.
 *
 * @module
 */

/** Groups items by key; keys are in order of first occurrence. */
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
