/** Groups the items of a collection by a key. */

/**
 * Groups items by the key that `keyOf` returns. The groups are in the order of their first items. The items
 * of a group keep their order.
 */
export function groupBy<K, V>(items: Iterable<V>, keyOf: (item: V) => K): Map<K, V[]> {
  const groups = new Map<K, V[]>();
  for (const item of items) {
    const key = keyOf(item);
    const group = groups.get(key);
    if (group) group.push(item);
    else groups.set(key, [item]);
  }
  return groups;
}
