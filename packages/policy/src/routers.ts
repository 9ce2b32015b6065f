import type { CacheView } from "./cache_view.ts";
import type { SpeedEstimate } from "./speed_estimate.ts";
import type { UpstreamState } from "./upstream_state.ts";
import type { WorkItem } from "./work.ts";

/** Names of the routers, which select the upstream of a call. */
export type RouterName =
  | "expected_finish"
  | "round_robin"
  | "least_loaded"
  | "sticky";

/** Input of a router. */
export interface RouteInput {
  work: WorkItem;
  /** Eligible upstreams of the target that accept calls; at least one. */
  candidates: UpstreamState[];
  caches: CacheView;
  speed: SpeedEstimate;
  /** Upstream of the program's previous call. */
  lastUpstream: string | undefined;
  /** Number of calls started so far, for round-robin selection. */
  startCount: number;
  now: number;
}

/** The selected upstream, or undefined if the call should stay queued. */
export type Route = UpstreamState | undefined;

type Router = (input: RouteInput) => Route;

/** Fraction of an engine's cache memory that new programs may fill, by class. */
const FIRST_CALL_MEMORY_FRACTION = { foreground: 0.9, bulk: 0.8 } as const;
/** Maximum time that a first call waits for free cache memory, by class. */
const MAX_MEMORY_WAIT_MS = { foreground: 8_000, bulk: 110_000 } as const;
/** Maximum prefill time that may be queued on an engine. */
const MAX_QUEUED_PREFILL_MS = 120;
/**
 * A program moves to another upstream only if it is expected to finish there
 * this many times faster than on the upstream that has its prompt cached.
 */
const MIGRATION_SPEEDUP_FACTOR = 6;

/** Routers by name. */
export const ROUTERS: Record<RouterName, Router> = {
  expected_finish: routeByExpectedFinish,
  round_robin: ({ candidates, startCount }) =>
    candidates[startCount % candidates.length],
  least_loaded: ({ candidates }) => leastLoaded(candidates),
  sticky: ({ candidates, lastUpstream }) =>
    candidates.find((it) => it.info.name === lastUpstream) ??
      leastLoaded(candidates),
};

/** Returns the expected time in ms until an upstream would finish a call. */
export function expectedFinishMs(
  upstream: UpstreamState,
  input: RouteInput,
): number {
  const { work, speed } = input;
  const prefillTokens = queuedPrefillTokensOf(upstream, input) +
    uncachedPromptTokens(upstream, input);
  const batchFill = upstream.inFlight() / upstream.info.capacity;
  const decodeMs = work.expectedOutputTokens * speed.decodeMsPerToken *
    (0.5 + 0.5 * batchFill);
  const waitMs = expectedWaitMs(upstream, input);
  return waitMs + prefillTokens * speed.prefillMsPerToken + decodeMs;
}

/**
 * Routes a call to the upstream that has the program's prompt cached, unless
 * waiting there takes much longer than recomputing the prompt elsewhere. Routes
 * a call without cached prompt to the upstream with the earliest expected
 * finish among those that have cache memory for it.
 */
function routeByExpectedFinish(input: RouteInput): Route {
  const cachedUpstream = findCachedUpstream(input);
  if (!cachedUpstream) return findFastestUpstream(input);
  if (canStart(cachedUpstream, input)) return cachedUpstream;
  const alternative = findFastestUpstream(input);
  if (!alternative) return undefined;
  const isMigrationWorthwhile =
    MIGRATION_SPEEDUP_FACTOR * expectedFinishMs(alternative, input) <
      expectedFinishMs(cachedUpstream, input);
  return isMigrationWorthwhile ? alternative : undefined;
}

/**
 * Returns the upstream that has most of the program's prompt cached, by the
 * estimates, or undefined if none has any of it.
 */
function findCachedUpstream({ candidates, work, caches }: RouteInput): Route {
  let cachedUpstream: UpstreamState | undefined;
  let maxCachedTokens = 0;
  for (const candidate of candidates) {
    const cached = caches.cachedTokens(work.program, candidate.info.name);
    if (cached <= maxCachedTokens) continue;
    cachedUpstream = candidate;
    maxCachedTokens = cached;
  }
  return cachedUpstream;
}

/** Returns the upstream with the earliest expected finish that has capacity. */
function findFastestUpstream(input: RouteInput): Route {
  let best: UpstreamState | undefined;
  let bestFinishMs = Infinity;
  for (const candidate of input.candidates) {
    if (!canStart(candidate, input)) continue;
    const finishMs = expectedFinishMs(candidate, input) +
      memoryPenaltyMs(candidate);
    if (finishMs >= bestFinishMs) continue;
    best = candidate;
    bestFinishMs = finishMs;
  }
  return best;
}

/** Returns a penalty in ms that grows with the used part of the cache memory. */
function memoryPenaltyMs(upstream: UpstreamState): number {
  const FULL_MEMORY_PENALTY_MS = 300;
  const limit = upstream.report?.cacheLimitTokens ?? 0;
  if (limit === 0) return 0;
  return FULL_MEMORY_PENALTY_MS * upstream.cacheTokens() / limit;
}

/**
 * Whether an upstream has a free slot and, for an engine, room in its prefill
 * queue and enough cache memory.
 */
function canStart(upstream: UpstreamState, input: RouteInput): boolean {
  if (upstream.freeSlots() <= 0) return false;
  if (input.work.kind !== "engine") return true;
  const queuedTokenCount = queuedPrefillTokensOf(upstream, input);
  const uncachedTokenCount = uncachedPromptTokens(upstream, input);
  const prefillMs = (queuedTokenCount + uncachedTokenCount) *
    input.speed.prefillMsPerToken;
  const isQueueFull = queuedTokenCount > 0 && prefillMs > MAX_QUEUED_PREFILL_MS;
  return !isQueueFull && hasMemoryFor(upstream, input);
}

function queuedPrefillTokensOf(
  upstream: UpstreamState,
  input: RouteInput,
): number {
  const { prefillMsPerToken } = input.speed;
  return upstream.queuedPrefillTokens(input.now, prefillMsPerToken);
}

function uncachedPromptTokens(
  upstream: UpstreamState,
  input: RouteInput,
): number {
  const { work, caches } = input;
  const cached = caches.cachedTokens(work.program, upstream.info.name);
  return Math.max(0, work.promptTokens - cached);
}

/**
 * Whether an engine has cache memory for a call. A new program waits, for a
 * bounded time, while running programs fill the memory.
 */
function hasMemoryFor(upstream: UpstreamState, input: RouteInput): boolean {
  const { work, now } = input;
  if (work.attainedTokens > 0) return true;
  const waitedMs = now - work.enqueuedAt;
  if (waitedMs >= MAX_MEMORY_WAIT_MS[work.class]) return true;
  const limit = upstream.report?.cacheLimitTokens ?? Infinity;
  return upstream.cacheTokens() + work.promptTokens <=
    FIRST_CALL_MEMORY_FRACTION[work.class] * limit;
}

/** Returns the expected time in ms until a full upstream has a free slot. */
function expectedWaitMs(upstream: UpstreamState, input: RouteInput): number {
  const missingSlots = 1 - upstream.freeSlots();
  if (missingSlots <= 0) return 0;
  const callMs = input.work.expectedOutputTokens * input.speed.decodeMsPerToken;
  return callMs * missingSlots / upstream.info.capacity;
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
