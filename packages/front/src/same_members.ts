/** Whether two lists without duplicates have the same members. */
export function hasSameMembers(a: string[], b: string[]): boolean {
  if (a.length !== b.length) return false;
  const members = new Set(a);
  return b.every((it) => members.has(it));
}
