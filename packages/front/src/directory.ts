import type { Fleet } from "@toucantrestle/fleet";
import type { FrontState } from "./protocol.ts";
import { type FrontCandidate, selectFronts } from "./select_fronts.ts";
import type { Siblings } from "./siblings/siblings.ts";

/** How long a caller may cache the response, in ms. */
const RESPONSE_TTL_MS = 2_000;

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
    siblings: Pick<Siblings, "stateOf" | "capacityOf">;
    self: string;
    /** Caller address of this front. */
    ownAddress: string;
    state: FrontState;
    /** Load that this host can carry, in cores, if it is known. */
    capacity: number | undefined;
  },
): DirectoryResponse {
  const byState: Record<FrontState, FrontCandidate[]> = {
    ready: [],
    stopping: [],
    starting: [],
  };
  byState[opts.state].push({
    address: opts.ownAddress,
    capacity: opts.capacity,
  });
  for (const it of opts.fleet.hosts) {
    if (it.host === opts.self || !it.callerAddress) continue;
    const state = opts.siblings.stateOf(it.host);
    if (!state) continue;
    const capacity = opts.siblings.capacityOf(it.host);
    byState[state].push({ address: it.callerAddress, capacity });
  }
  const { ready, stopping } = byState;
  const listed = ready.length > 0 ? ready : stopping;
  return {
    addresses: selectFronts(listed, Math.random),
    ttlMs: RESPONSE_TTL_MS,
  };
}
