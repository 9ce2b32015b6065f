import type { HostRecord, HostRun } from "./host.ts";
import { rankByRendezvous } from "./rendezvous.ts";
import { SHARD_COUNT } from "./shard.ts";

/** Holders of a shard's journal tail. */
export const DEFAULT_TAIL_COPIES = 3;

/** Names of live hosts to the preferred owners of all shards. */
const preferredByHosts = new Map<string, string[]>();
const MAX_REMEMBERED = 16;

/**
 * Returns the host that should own a shard: the best by rendezvous hashing
 * over the names of live hosts, so that a restarted host gets its shards back.
 */
export function preferredOwner(
  shard: number,
  hosts: HostRecord[],
): HostRecord | undefined {
  const live = hosts.filter((it) => it.state === "live");
  const best = preferredNames(live.map((it) => it.host))[shard];
  return live.find((it) => it.host === best);
}

/** Preferred owners of all shards, remembered for the last sets of hosts. */
function preferredNames(hosts: string[]): string[] {
  const key = [...hosts].sort().join(" ");
  const known = preferredByHosts.get(key);
  if (known) return known;
  const names = Array.from(
    { length: SHARD_COUNT },
    (_, shard) => rankByRendezvous(`owner/${shard}`, hosts)[0] ?? "",
  );
  if (preferredByHosts.size >= MAX_REMEMBERED) preferredByHosts.clear();
  preferredByHosts.set(key, names);
  return names;
}

/**
 * Chooses the holders of a shard's journal tail: not its owner, in data
 * centres as different as possible, else by rendezvous hashing.
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
    const next = leastUsed(ranked, { others, chosen, used });
    used.set(next.dataCentre, (used.get(next.dataCentre) ?? 0) + 1);
    chosen.push(runOf(next));
  }
  return chosen;
}

/** Strips a host record to the identity of its run. */
export function runOf(record: HostRun): HostRun {
  return {
    runId: record.runId,
    host: record.host,
    dataCentre: record.dataCentre,
    address: record.address,
    siblingAddress: record.siblingAddress,
  };
}

/**
 * Chooses the siblings a daemon keeps a link to without a reason: all of them
 * up to `limit`, else its best ones by rendezvous hashing.
 */
export function linkTargets(
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

function leastUsed(
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
