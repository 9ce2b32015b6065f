import type { CacheView } from "./cache_view.ts";
import type { SpeedEstimate } from "./speed_estimate.ts";
import type { UpstreamState } from "./upstream_state.ts";
import type { Work } from "./work.ts";

/** How an upstream is chosen. */
export type RouterName =
  | "expected_finish"
  | "round_robin"
  | "least_loaded"
  | "sticky";

/** What a router may look at. */
export interface RouteInput {
  work: Work;
  /** Upstreams that serve the target and accept work, at least one. */
  candidates: UpstreamState[];
  caches: CacheView;
  speed: SpeedEstimate;
  /** Upstream that ran the program's last call. */
  lastUpstream: string | undefined;
  /** Counts calls, for rotation. */
  turn: number;
  now: number;
}

/** The chosen upstream, or undefined when the work should wait. */
export type Route = UpstreamState | undefined;

type Router = (input: RouteInput) => Route;

/** Longest time that work waits for the engine that has its cache. */
const MAX_HOLD_MS = 4_000;

/** Routers by name. */
export const ROUTERS: Record<RouterName, Router> = {
  expected_finish: routeByExpectedFinish,
  round_robin: ({ candidates, turn }) => candidates[turn % candidates.length],
  least_loaded: ({ candidates }) => leastLoaded(candidates),
  sticky: ({ candidates, lastUpstream }) =>
    candidates.find((it) => it.info.name === lastUpstream) ??
      leastLoaded(candidates),
};

/** Time until an upstream would finish the work, in ms. */
export function expectedFinishMs(
  upstream: UpstreamState,
  input: RouteInput,
): number {
  const { work, speed } = input;
  const cached = input.caches.cachedTokens(work.program, upstream.info.name);
  const uncached = Math.max(0, work.promptTokens - cached);
  const prefillTokens = upstream.queuedPrefillTokens() + uncached;
  const batch = upstream.inFlight() / upstream.info.capacity;
  const decodeMs = work.expectedOutputTokens * speed.tokenMs *
    (0.5 + 0.5 * batch);
  const waitMs = expectedWaitMs(upstream, input);
  return waitMs + prefillTokens * speed.prefillMsPerToken + decodeMs;
}

function routeByExpectedFinish(input: RouteInput): Route {
  let best: UpstreamState | undefined;
  let bestMs = Infinity;
  for (const candidate of input.candidates) {
    const ms = expectedFinishMs(candidate, input);
    if (ms >= bestMs) continue;
    best = candidate;
    bestMs = ms;
  }
  if (!best || best.room() > 0) return best;
  const waited = input.now - input.work.enqueuedAt;
  if (waited < MAX_HOLD_MS) return undefined;
  return leastLoaded(input.candidates.filter((it) => it.room() > 0));
}

/** Wait for a free place on a full upstream. */
function expectedWaitMs(upstream: UpstreamState, input: RouteInput): number {
  const missing = 1 - upstream.room();
  if (missing <= 0) return 0;
  const callMs = input.work.expectedOutputTokens * input.speed.tokenMs;
  return callMs * missing / upstream.info.capacity;
}

function leastLoaded(candidates: UpstreamState[]): Route {
  let best: UpstreamState | undefined;
  let bestLoad = Infinity;
  for (const candidate of candidates) {
    const load = candidate.inFlight() / candidate.info.capacity;
    if (load >= bestLoad) continue;
    best = candidate;
    bestLoad = load;
  }
  return best;
}
