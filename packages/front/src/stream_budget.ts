import type { Call } from "./call.ts";

/** What the stream of a call may bring. */
export interface StreamBound {
  events: number;
  bytes: number;
}

/** Most output of a turn that is kept, in bytes. */
export const MAX_KEPT_OUTPUT_BYTES = 4_194_304;
/**
 * An engine may write finer events than its configuration says, and some beside
 * those with tokens: usage, an end mark, comments that keep a connection open.
 */
const EVENT_TOLERANCE = 2;
const EXTRA_EVENTS = 64;
/** An event has the text of its tokens and what describes them. */
const MAX_MEAN_EVENT_BYTES = 4_096;
/** Room for one event of the greatest length. */
const EXTRA_BYTES = 262_144;

/** Counts what a stream brings, over all attempts at its call. */
export class StreamBudget {
  readonly #left: StreamBound;
  #isSpent = false;

  constructor(bound: StreamBound) {
    this.#left = { ...bound };
  }

  /** Whether the stream has brought more than it may. */
  get isSpent(): boolean {
    return this.#isSpent;
  }

  /** Counts an event of this size; false if it is beyond what was asked for. */
  take(eventBytes: number): boolean {
    this.#left.events -= 1;
    this.#left.bytes -= eventBytes;
    this.#isSpent ||= this.#left.events < 0 || this.#left.bytes < 0;
    return !this.#isSpent;
  }
}

/**
 * Returns what the stream of a call may bring: clearly more than the tokens that
 * were asked for, or than the largest output that is kept. Without end if the
 * call does not say how much it asks for and nothing is kept.
 */
export function streamBoundOf(
  call: Pick<Call, "head" | "service" | "config" | "route">,
): StreamBound {
  const asked = askedBound(call);
  if (!call.route.keepsTurns) return asked;
  return { ...asked, bytes: Math.min(asked.bytes, MAX_KEPT_OUTPUT_BYTES) };
}

function askedBound(
  { head, service, config }: Pick<Call, "head" | "service" | "config">,
): StreamBound {
  const tokens = head.maxOutputTokens;
  if (!tokens) return { events: Infinity, bytes: Infinity };
  const engine = config.services.find((it) => it.name === service)?.engine;
  const tokensPerEvent = Math.min(1, engine?.tokensPerEvent ?? 1);
  const events = EVENT_TOLERANCE * Math.ceil(tokens / tokensPerEvent) +
    EXTRA_EVENTS;
  return { events, bytes: events * MAX_MEAN_EVENT_BYTES + EXTRA_BYTES };
}
