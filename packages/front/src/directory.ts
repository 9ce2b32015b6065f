import type { Fleet } from "@toucantrestle/fleet";
import type { FrontState } from "./protocol.ts";
import type { Siblings } from "./siblings.ts";

/** How long a caller may keep the answer, in ms. */
const RESPONSE_TTL_MS = 2_000;
const MAX_ADDRESSES = 64;

/** Where callers should connect. */
export interface DirectoryResponse {
  addresses: string[];
  ttlMs: number;
}

/**
 * Addresses of the fronts that are ready. Where none is, those that are
 * stopping still serve for a while.
 */
export function buildDirectoryResponse(
  opts: {
    fleet: Fleet;
    siblings: Pick<Siblings, "stateOf">;
    self: string;
    /** This front's own address and state. */
    ownAddress: string;
    state: FrontState;
  },
): DirectoryResponse {
  const byState: Record<FrontState, string[]> = {
    ready: [],
    stopping: [],
    starting: [],
  };
  byState[opts.state].push(opts.ownAddress);
  for (const it of opts.fleet.hosts) {
    if (it.host === opts.self || !it.callerAddress) continue;
    const state = opts.siblings.stateOf(it.host);
    if (state) byState[state].push(it.callerAddress);
  }
  const { ready, stopping } = byState;
  const addresses = ready.length > 0 ? ready : stopping;
  return {
    addresses: addresses.slice(0, MAX_ADDRESSES),
    ttlMs: RESPONSE_TTL_MS,
  };
}
