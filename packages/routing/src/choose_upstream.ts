import type { SpeedEstimate } from "@toucantrestle/policy";
import type { Mechanism } from "./mechanism.ts";
import type { PrefixIndex, PromptPart } from "./prefix_index.ts";
import type { TrackedUpstream, UpstreamRegistry } from "./upstream_registry.ts";

/** Name of an upstream selection strategy. */
export type ChooserName =
  | "expected_finish"
  | "least_loaded"
  | "round_robin"
  | "sticky";

/** Input of a chooser. */
export interface ChooserInput {
  candidates: TrackedUpstream[];
  upstreamRegistry: UpstreamRegistry;
  prefixIndex: PrefixIndex;
  /** Prompt parts in order; empty for a service that is not a model engine. */
  parts: PromptPart[];
  promptTokens: number;
  outputTokens: number;
  /** Speed of the service's engines. */
  speed: SpeedEstimate;
  /** Expected duration on an idle upstream that is not an engine, in ms. */
  workMs: number;
  /** Id of the upstream that ran the previous turn. */
  lastUpstream: string | undefined;
  dataCentre: string;
  /** Returns whether an idle keep-alive connection to an upstream is open. */
  hasIdleConnection: (upstream: string) => boolean;
  now: number;
  /** Mechanisms that are switched off. */
  disabled: ReadonlySet<Mechanism>;
  /**
   * Random number in [0, 1). Fronts that hold the same state choose different
   * upstreams, so that they do not all select the same one.
   */
  draw: number;
}

type Chooser = (input: ChooserInput) => TrackedUpstream | undefined;

/** Relative increase of the decoding step for each running request. */
const BATCH_SLOWDOWN = 0.006;
/**
 * Weight of the prompt tokens that the engine has not cached. Prefilling a
 * prompt stalls all requests that the engine runs, and the cache that it fills
 * is lost to other programs.
 */
const UNCACHED_WEIGHT = 10;
/** Weight of queueing: a queued request also delays the requests behind it. */
const QUEUE_WEIGHT = 3;
/** Added latency of an upstream in another data centre, in ms. */
const CROSS_DATA_CENTRE_MS = 4;
/**
 * Cost of opening a connection, in ms. Upstreams accept a limited number of
 * connections.
 */
const NEW_CONNECTION_MS = 20;
/** Estimates within this margin of the best one count as equal, in ms. */
const TIE_MARGIN_MS = 3;

/** Random part of an estimate whose load is not known exactly, in ms. */
const UNKNOWN_LOAD_MARGIN_MS = 10;
/** Loads seldom differ from their last known value by more than this, in ms. */
const CLOSE_ESTIMATE_MS = 300;
/** Spreads multiples of one random number evenly over [0, 1). */
const GOLDEN_RATIO = 1.618;

/** Upstream choosers by name. */
export const CHOOSERS: Record<ChooserName, Chooser> = {
  expected_finish: chooseByExpectedFinish,
  least_loaded: chooseLeastLoaded,
  round_robin: ({ candidates, draw }) =>
    candidates[Math.floor(draw * candidates.length)],
  sticky: (input) =>
    input.candidates.find((it) => it.entry.id === input.lastUpstream) ??
      chooseLeastLoaded(input),
};

/** Estimates the time until an upstream would finish the request, in ms. */
export function expectedFinishMs(
  upstream: TrackedUpstream,
  input: ChooserInput,
): number {
  const networkMs = upstream.entry.dataCentre === input.dataCentre
    ? 0
    : CROSS_DATA_CENTRE_MS;
  const ms = input.promptTokens > 0
    ? estimateEngineMs(upstream, input)
    : estimateServiceMs(upstream, input);
  const connectionMs = input.hasIdleConnection(upstream.entry.id)
    ? 0
    : NEW_CONNECTION_MS;
  const latencyRatio = input.disabled.has("latency_ratio")
    ? 1
    : input.upstreamRegistry.latencyRatioOf(upstream, input.now);
  return networkMs + connectionMs + ms * Math.max(1, latencyRatio);
}

function estimateEngineMs(
  upstream: TrackedUpstream,
  input: ChooserInput,
): number {
  const { running, prefillTokens } = input.upstreamRegistry.loadOf(
    upstream,
    input.now,
  );
  const cached = input.prefixIndex.cachedTokens(upstream.entry.id, input.parts);
  const uncachedTokens = Math.max(0, input.promptTokens - cached);
  const uncachedWeight = input.disabled.has("uncached_weight")
    ? 1
    : UNCACHED_WEIGHT;
  const prefillMs = (uncachedWeight * uncachedTokens + prefillTokens) *
    input.speed.prefillMsPerToken;
  const batchSize = Math.min(running + 1, upstream.entry.slots);
  const tokenMs = input.speed.idleDecodeMsPerToken *
    (1 + BATCH_SLOWDOWN * batchSize);
  const decodeMs = input.outputTokens * tokenMs;
  const queued = Math.max(0, running + 1 - upstream.entry.slots);
  const waitMs = QUEUE_WEIGHT * queued * decodeMs / upstream.entry.slots;
  return prefillMs + decodeMs + waitMs;
}

function estimateServiceMs(
  upstream: TrackedUpstream,
  input: ChooserInput,
): number {
  const { running } = input.upstreamRegistry.loadOf(upstream, input.now);
  const { slots, coldLeftMs } = upstream.entry;
  const queued = Math.max(0, running + 1 - slots);
  const utilisation = running / slots;
  const waitMs = input.workMs * (queued / slots + 0.25 * utilisation);
  const coldStartMs = coldLeftMs > 0 ? input.workMs : 0;
  return input.workMs + waitMs + coldStartMs;
}

/** Chooses the earliest expected finish; breaks ties by the random number. */
function chooseByExpectedFinish(
  input: ChooserInput,
): TrackedUpstream | undefined {
  const estimates = input.candidates.map((upstream) => ({
    upstream,
    ms: expectedFinishMs(upstream, input),
  }));
  const bestMs = Math.min(...estimates.map((it) => it.ms));
  const tied = estimates.filter((it) => it.ms <= bestMs + TIE_MARGIN_MS);
  return tied[Math.floor(input.draw * tied.length)]?.upstream;
}

/**
 * Returns the upstreams that might turn out best once their load is known
 * exactly: those whose estimate is close to the best, in random order among
 * equals, and no more than `count`.
 */
export function closestCandidates(
  input: ChooserInput,
  count: number,
): TrackedUpstream[] {
  const estimates = input.candidates.map((upstream, i) => ({
    upstream,
    ms: expectedFinishMs(upstream, input) +
      UNKNOWN_LOAD_MARGIN_MS * ((input.draw * (i + 1) * GOLDEN_RATIO) % 1),
  }));
  estimates.sort((a, b) => a.ms - b.ms);
  const bestMs = estimates[0]?.ms ?? 0;
  return estimates
    .filter((it) => it.ms <= bestMs + CLOSE_ESTIMATE_MS)
    .slice(0, count)
    .map((it) => it.upstream);
}

function chooseLeastLoaded(input: ChooserInput): TrackedUpstream | undefined {
  let best: TrackedUpstream | undefined;
  let bestLoad = Infinity;
  for (const it of input.candidates) {
    const { running } = input.upstreamRegistry.loadOf(it, input.now);
    const load = running / it.entry.slots;
    if (load >= bestLoad) continue;
    best = it;
    bestLoad = load;
  }
  return best;
}
