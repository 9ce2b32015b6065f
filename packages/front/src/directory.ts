import type { Fleet } from "@toucantrestle/fleet";
import type { Siblings } from "./siblings.ts";

/** How long a caller may keep the answer, in ms. */
const ANSWER_LIFE_MS = 2_000;
const MAX_ADDRESSES = 64;

/** Where callers should connect. */
export interface DirectoryAnswer {
  addresses: string[];
  ttlMs: number;
}

/** Addresses of the fronts that are ready; of all where none says so. */
export function directoryAnswer(
  opts: {
    fleet: Fleet;
    siblings: Siblings;
    /** This front's own address, where it is ready. */
    own: string | undefined;
    self: string;
  },
): DirectoryAnswer {
  const addresses = opts.own ? [opts.own] : [];
  for (const it of opts.fleet.hosts) {
    if (it.host === opts.self || !it.callerAddress) continue;
    if (opts.siblings.isReady(it.host)) addresses.push(it.callerAddress);
  }
  return {
    addresses: addresses.slice(0, MAX_ADDRESSES),
    ttlMs: ANSWER_LIFE_MS,
  };
}
