import type { Fleet } from "@toucantrestle/fleet";
import { rankByRendezvous } from "@toucantrestle/membership";
import type { FrontState } from "./protocol.ts";
import type { Siblings } from "./siblings/siblings.ts";

/** How long a caller may cache the response, in ms. */
const RESPONSE_TTL_MS = 2_000;
const MAX_ADDRESSES = 64;

/** Addresses that callers should connect to. */
export interface DirectoryResponse {
  addresses: string[];
  ttlMs: number;
}

/**
 * Returns the addresses of the ready fronts. If no front is ready, returns the
 * addresses of the stopping fronts, which still accept connections briefly.
 */
export function buildDirectoryResponse(
  opts: {
    fleet: Fleet;
    siblings: Pick<Siblings, "stateOf">;
    self: string;
    /** Caller address of this front. */
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
  return { addresses: selectAddresses(addresses), ttlMs: RESPONSE_TTL_MS };
}

/**
 * Returns as many addresses as a response may have. All fronts select the same
 * ones, from all data centres, so that fewer fronts connect to the upstreams.
 */
function selectAddresses(addresses: string[]): string[] {
  if (addresses.length <= MAX_ADDRESSES) return addresses;
  return rankByRendezvous("directory", addresses).slice(0, MAX_ADDRESSES);
}
