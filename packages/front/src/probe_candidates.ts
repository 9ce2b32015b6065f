import type { UpstreamEntry } from "@toucantrestle/routing";
import type { UpstreamContact } from "./upstream_contact.ts";

/** Upstream that should accept connections. */
export type ProbeCandidate = Pick<UpstreamEntry, "id" | "address">;

/**
 * Returns up to `count` upstreams, at different addresses, whose probes say most
 * about the way to all upstreams. One that has crashed stays listed for some
 * time and says nothing about it: those that were last known to run come first,
 * and those that could not be connected come last. `random` returns a number in
 * [0, 1) and decides among equals.
 */
export function chooseToProbe(
  candidates: readonly ProbeCandidate[],
  { contact, count, random }: {
    contact: Pick<UpstreamContact, "hasFailed" | "aliveAt">;
    count: number;
    random: () => number;
  },
): ProbeCandidate[] {
  const ranked = candidates.map((it) => ({
    it,
    failures: contact.hasFailed(it.id) ? 1 : 0,
    aliveAt: contact.aliveAt(it.id),
    draw: random(),
  }));
  ranked.sort((a, b) =>
    a.failures - b.failures || b.aliveAt - a.aliveAt || a.draw - b.draw
  );
  const byAddress = new Map<string, ProbeCandidate>();
  for (const { it } of ranked) {
    if (byAddress.size === count) break;
    if (!byAddress.has(it.address)) byAddress.set(it.address, it);
  }
  return [...byAddress.values()];
}
