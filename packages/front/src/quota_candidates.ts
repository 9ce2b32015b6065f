/**
 * Returns the fronts from which the allocators of quotas are chosen: those that
 * are ready, so that a front that stops is replaced before it ends. If none is,
 * all are candidates.
 */
export function quotaCandidates(
  { self, isReady, siblings, isSiblingReady }: {
    self: string;
    isReady: boolean;
    /** Names of the connected siblings. */
    siblings: string[];
    isSiblingReady: (host: string) => boolean;
  },
): string[] {
  const ready = siblings.filter(isSiblingReady);
  if (isReady) ready.push(self);
  return ready.length > 0 ? ready : [self, ...siblings];
}
