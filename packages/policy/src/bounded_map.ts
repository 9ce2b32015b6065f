/**
 * Sets an entry as the newest of a map of at most `maxSize`, in the order in
 * which entries were set. The oldest makes room for it.
 */
export function setNewest<K, V>(
  map: Map<K, V>,
  [key, value]: [K, V],
  maxSize: number,
): void {
  map.delete(key);
  map.set(key, value);
  if (map.size <= maxSize) return;
  for (const oldest of map.keys()) {
    map.delete(oldest);
    return;
  }
}
