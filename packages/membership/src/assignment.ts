import type { HostRecord, HostRun } from "./host.ts";
import { rankByRendezvous } from "./rendezvous.ts";
import { SHARD_COUNT } from "./shard.ts";

/** Default number of daemons that hold a replica of a shard's journal tail. */
export const DEFAULT_TAIL_COPIES = 3;

/**
 * Preferred owner of every shard, keyed by the sorted names of the live hosts.
 */
const ownersByHostSet = new Map<string, string[]>();
const MAX_CACHED_HOST_SETS = 16;

/**
 * Returns the host that should own a shard: the first live host by rendezvous
 * hashing. Host names are hashed rather than run ids, so that a restarted host
 * is assigned the same shards again. Returns undefined without live hosts.
 */
export function preferredOwner(
  shard: number,
  hosts: HostRecord[],
): HostRecord | undefined {
  const live = hosts.filter((it) => it.state === "live");
  const best = preferredOwnerNames(live.map((it) => it.host))[shard];
  return live.find((it) => it.host === best);
}

/** Returns the preferred owner of every shard, cached per set of hosts. */
function preferredOwnerNames(hosts: string[]): string[] {
  const key = [...hosts].sort().join(" ");
  const cached = ownersByHostSet.get(key);
  if (cached) return cached;
  const names = Array.from(
    { length: SHARD_COUNT },
    (_, shard) => rankByRendezvous(`owner/${shard}`, hosts)[0] ?? "",
  );
  if (ownersByHostSet.size >= MAX_CACHED_HOST_SETS) ownersByHostSet.clear();
  ownersByHostSet.set(key, names);
  return names;
}

/**
 * Chooses up to `copies` live hosts to hold replicas of a shard's journal tail.
 * Excludes the owner and spreads the replicas over as many data centres as
 * possible. Within a data centre, hosts are ranked by rendezvous hashing.
 */
export function chooseHolders(
  shard: number,
  opts: { owner: HostRun; hosts: HostRecord[]; copies: number },
): HostRun[] {
  const others = opts.hosts.filter((it) =>
    it.host !== opts.owner.host && it.state === "live"
  );
  const ranked = rankByRendezvous(
    `holder/${shard}`,
    others.map((it) => it.host),
  );
  const used = new Map<string, number>([[opts.owner.dataCentre, 1]]);
  const chosen: HostRun[] = [];
  while (chosen.length < opts.copies && chosen.length < others.length) {
    const next = pickFromLeastUsedDataCentre(ranked, { others, chosen, used });
    used.set(next.dataCentre, (used.get(next.dataCentre) ?? 0) + 1);
    chosen.push(toHostRun(next));
  }
  return chosen;
}

/** Returns only the `HostRun` fields of a host record. */
export function toHostRun(record: HostRun): HostRun {
  return {
    runId: record.runId,
    host: record.host,
    dataCentre: record.dataCentre,
    address: record.address,
    siblingAddress: record.siblingAddress,
  };
}

/**
 * Chooses the siblings to which a daemon keeps a link open even when it has no
 * traffic for them: all siblings if there are at most `limit`, otherwise the
 * first `limit` by rendezvous hashing.
 */
export function chooseLinkTargets(
  self: HostRun,
  hosts: HostRecord[],
  limit: number,
): HostRecord[] {
  const others = hosts.filter((it) => it.runId !== self.runId);
  if (others.length <= limit) return others;
  const names = rankByRendezvous(
    `link/${self.host}`,
    others.map((it) => it.host),
  ).slice(0, limit);
  return others.filter((it) => names.includes(it.host));
}

function pickFromLeastUsedDataCentre(
  ranked: string[],
  opts: {
    others: HostRecord[];
    chosen: HostRun[];
    used: Map<string, number>;
  },
): HostRecord {
  const candidates = ranked
    .map((name) => opts.others.find((it) => it.host === name))
    .filter((it) => it !== undefined)
    .filter((it) => !opts.chosen.some((run) => run.host === it.host));
  let best = candidates[0] as HostRecord;
  for (const candidate of candidates) {
    const uses = opts.used.get(candidate.dataCentre) ?? 0;
    if (uses < (opts.used.get(best.dataCentre) ?? 0)) best = candidate;
  }
  return best;
}
