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

/** Memory that new programs may fill. */
const FIRST_CALL_FILL = { foreground: 0.9, bulk: 0.8 } as const;
/** A first call waits this long at the most for free cache memory. */
const MAX_MEMORY_WAIT_MS = { foreground: 8_000, bulk: 110_000 } as const;
/** Prompt computation that may be queued on an engine. */
const MAX_PREFILL_QUEUE_MS = 120;
/** Moving must be this much faster than waiting for the cached copy. */
const MOVE_FACTOR = 6;

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
  const prefillTokens = queuedTokens(upstream, input) +
    uncachedTokens(upstream, input);
  const batch = upstream.inFlight() / upstream.info.capacity;
  const decodeMs = work.expectedOutputTokens * speed.tokenMs *
    (0.5 + 0.5 * batch);
  const waitMs = expectedWaitMs(upstream, input);
  return waitMs + prefillTokens * speed.prefillMsPerToken + decodeMs;
}

/**
 * A program goes where its cache is, unless waiting there takes much longer
 * than computing it again elsewhere; a new one goes where it would finish
 * first, among upstreams that have memory for it.
 */
function routeByExpectedFinish(input: RouteInput): Route {
  const home = findHome(input);
  if (!home) return startElsewhere(input);
  if (canStart(home, input)) return home;
  const other = startElsewhere(input);
  if (!other) return undefined;
  const isWorthIt = MOVE_FACTOR * expectedFinishMs(other, input) <
    expectedFinishMs(home, input);
  return isWorthIt ? other : undefined;
}

/** Upstream believed to have most of the program's prompt cached. */
function findHome({ candidates, work, caches }: RouteInput): Route {
  let home: UpstreamState | undefined;
  let most = 0;
  for (const candidate of candidates) {
    const cached = caches.cachedTokens(work.program, candidate.info.name);
    if (cached <= most) continue;
    home = candidate;
    most = cached;
  }
  return home;
}

function startElsewhere(input: RouteInput): Route {
  let best: UpstreamState | undefined;
  let bestMs = Infinity;
  for (const candidate of input.candidates) {
    if (!canStart(candidate, input)) continue;
    const ms = expectedFinishMs(candidate, input) + memoryCostMs(candidate);
    if (ms >= bestMs) continue;
    best = candidate;
    bestMs = ms;
  }
  return best;
}

/** Prefers upstreams with free memory among equals. */
function memoryCostMs(upstream: UpstreamState): number {
  const FULL_MEMORY_COST_MS = 300;
  const limit = upstream.report?.cacheLimitTokens ?? 0;
  if (limit === 0) return 0;
  return FULL_MEMORY_COST_MS * upstream.cacheTokens() / limit;
}

/** There is a place, room in the prefill queue and memory. */
function canStart(upstream: UpstreamState, input: RouteInput): boolean {
  if (upstream.room() <= 0) return false;
  if (input.work.kind !== "engine") return true;
  const queued = queuedTokens(upstream, input);
  const uncached = uncachedTokens(upstream, input);
  const prefillMs = (queued + uncached) * input.speed.prefillMsPerToken;
  const isQueueFull = queued > 0 && prefillMs > MAX_PREFILL_QUEUE_MS;
  return !isQueueFull && hasMemoryFor(upstream, input);
}

function queuedTokens(upstream: UpstreamState, input: RouteInput): number {
  const { prefillMsPerToken } = input.speed;
  return upstream.queuedPrefillTokens(input.now, prefillMsPerToken);
}

function uncachedTokens(upstream: UpstreamState, input: RouteInput): number {
  const { work, caches } = input;
  const cached = caches.cachedTokens(work.program, upstream.info.name);
  return Math.max(0, work.promptTokens - cached);
}

/** New programs wait while those under way fill the cache memory. */
function hasMemoryFor(upstream: UpstreamState, input: RouteInput): boolean {
  const { work, now } = input;
  if (work.attainedTokens > 0) return true;
  const waited = now - work.enqueuedAt;
  if (waited >= MAX_MEMORY_WAIT_MS[work.class]) return true;
  const limit = upstream.report?.cacheLimitTokens ?? Infinity;
  return upstream.cacheTokens() + work.promptTokens <=
    FIRST_CALL_FILL[work.class] * limit;
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
