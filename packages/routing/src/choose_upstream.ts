import type { PrefixCache, PromptPart } from "./prefix_cache.ts";
import type { KnownUpstream, UpstreamBook } from "./upstream_book.ts";

/** How an upstream is chosen. */
export type ChooserName =
  | "expected_finish"
  | "least_loaded"
  | "round_robin"
  | "sticky";

/** What a chooser may look at. */
export interface ChooseInput {
  candidates: KnownUpstream[];
  book: UpstreamBook;
  caches: PrefixCache;
  /** Parts of the prompt, empty for a plain service. */
  parts: PromptPart[];
  promptTokens: number;
  outputTokens: number;
  /** Expected duration on an idle plain upstream, in ms. */
  workMs: number;
  /** Upstream that ran the turn before. */
  lastUpstream: string | undefined;
  dataCentre: string;
  /** Whether a kept connection to an upstream waits for a request. */
  hasChannel: (upstream: string) => boolean;
  now: number;
  /** A number in [0, 1) that parts fronts with the same beliefs. */
  draw: number;
}

type Chooser = (input: ChooseInput) => KnownUpstream | undefined;

/** Prompt tokens that an engine reads in a ms. */
const PREFILL_TOKENS_PER_MS = 42;
/** Time of a decoding step at an idle engine, in ms a token. */
const TOKEN_MS = 5.7;
/** Growth of a step with each running request, as a share. */
const STEP_GROWTH = 0.006;
/**
 * While an engine reads a prompt, all that it runs wait. Tokens to be read
 * weigh as if about ten requests ran, which a busy engine has.
 */
const UNREAD_WEIGHT = 10;
/** Who joins a queue for a slot delays those who come after it as well. */
const QUEUE_WEIGHT = 3;
/** Cost of crossing to another data centre, in ms. */
const CROSSING_MS = 4;
/** Cost of a new connection, in ms; connections are scarce at upstreams. */
const NEW_CHANNEL_MS = 20;
/** Upstreams within this much of the best are taken for equal, in ms. */
const TIE_MS = 3;

/** Choosers by name. */
export const CHOOSERS: Record<ChooserName, Chooser> = {
  expected_finish: chooseByExpectedFinish,
  least_loaded: chooseLeastLoaded,
  round_robin: ({ candidates, draw }) =>
    candidates[Math.floor(draw * candidates.length)],
  sticky: (input) =>
    input.candidates.find((it) => it.entry.id === input.lastUpstream) ??
      chooseLeastLoaded(input),
};

/** Time that an idle engine takes to produce tokens, in ms. */
export function idleOutputMs(outputTokens: number): number {
  return outputTokens * TOKEN_MS;
}

/** Time until an upstream would have finished the work, in ms. */
export function expectedFinishMs(
  upstream: KnownUpstream,
  input: ChooseInput,
): number {
  const crossing = upstream.entry.dataCentre === input.dataCentre
    ? 0
    : CROSSING_MS;
  const ms = input.promptTokens > 0
    ? engineMs(upstream, input)
    : serviceMs(upstream, input);
  const channelMs = input.hasChannel(upstream.entry.id) ? 0 : NEW_CHANNEL_MS;
  const slowness = input.book.slownessOf(upstream, input.now);
  return crossing + channelMs + ms * Math.max(1, slowness);
}

function engineMs(upstream: KnownUpstream, input: ChooseInput): number {
  const { running, prefillTokens } = input.book.loadOf(upstream, input.now);
  const cached = input.caches.cachedTokens(upstream.entry.id, input.parts);
  const unread = Math.max(0, input.promptTokens - cached);
  const prefillMs = (UNREAD_WEIGHT * unread + prefillTokens) /
    PREFILL_TOKENS_PER_MS;
  const batch = Math.min(running + 1, upstream.entry.slots);
  const tokenMs = TOKEN_MS * (1 + STEP_GROWTH * batch);
  const decodeMs = input.outputTokens * tokenMs;
  const waiting = Math.max(0, running + 1 - upstream.entry.slots);
  const waitMs = QUEUE_WEIGHT * waiting * decodeMs / upstream.entry.slots;
  return prefillMs + decodeMs + waitMs;
}

function serviceMs(upstream: KnownUpstream, input: ChooseInput): number {
  const { running } = input.book.loadOf(upstream, input.now);
  const { slots, coldLeftMs } = upstream.entry;
  const waiting = Math.max(0, running + 1 - slots);
  const nearlyFull = running / slots;
  const waitMs = input.workMs * (waiting / slots + 0.25 * nearlyFull);
  const coldMs = coldLeftMs > 0 ? input.workMs : 0;
  return input.workMs + waitMs + coldMs;
}

/** The least expected finish; near equals are told apart by the draw. */
function chooseByExpectedFinish(input: ChooseInput): KnownUpstream | undefined {
  const timed = input.candidates.map((it) => ({
    it,
    ms: expectedFinishMs(it, input),
  }));
  const best = Math.min(...timed.map((t) => t.ms));
  const near = timed.filter((t) => t.ms <= best + TIE_MS);
  return near[Math.floor(input.draw * near.length)]?.it;
}

function chooseLeastLoaded(input: ChooseInput): KnownUpstream | undefined {
  let best: KnownUpstream | undefined;
  let bestLoad = Infinity;
  for (const it of input.candidates) {
    const { running } = input.book.loadOf(it, input.now);
    const load = running / it.entry.slots;
    if (load >= bestLoad) continue;
    best = it;
    bestLoad = load;
  }
  return best;
}
