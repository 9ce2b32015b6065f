import { ByteCollector } from "@toucantrestle/memory";
import type { SpeedEstimate } from "@toucantrestle/policy";
import type { UpstreamEntry, UpstreamProcess } from "@toucantrestle/routing";
import {
  type LookupVerdict,
  type PromptHint,
  scopedId,
  type StreamOrigin,
} from "@toucantrestle/turn_log";
import type { Reservation, TurnStoreClient } from "@toucantrestle/turn_store";
import type { Call } from "./call.ts";
import type { StreamEvent } from "./event_splitter.ts";
import type { EventTimes } from "./event_times.ts";
import {
  createOrigin,
  createUnknownOrigin,
  isResumption,
  runsSameSoftware,
} from "./stream_origin.ts";
import { MAX_KEPT_OUTPUT_BYTES } from "./stream_budget.ts";

/** Why a turn cannot start. */
export type TurnStartFailure =
  | "budget_spent"
  | "no_such_turn"
  | "origin_unknown"
  | "unknown";

const FIRST_ORDINAL = 1;
const LINE_FEED = Buffer.from("\n");

/** State of the turn that a call runs: prompt, output and token reservation. */
export class TurnState {
  readonly #store: TurnStoreClient;
  readonly #call: Call;
  readonly #tokensPerEvent: number;
  readonly #output = new ByteCollector({ maxBytes: MAX_KEPT_OUTPUT_BYTES });
  #prompt: Buffer;
  #events = 0;
  #isReserved = false;
  #isSettled = false;
  /** Which upstreams have prefilled prompts of this program. */
  hints: PromptHint[] = [];
  #origin: StreamOrigin | undefined;
  /** Process that prefilled the prompt of this turn. */
  #prefilledBy: UpstreamProcess | undefined;

  constructor(opts: { store: TurnStoreClient; call: Call }) {
    this.#store = opts.store;
    this.#call = opts.call;
    this.#prompt = opts.call.body;
    const service = opts.call.config.services.find((it) =>
      it.name === opts.call.service
    );
    this.#tokensPerEvent = service?.engine?.tokensPerEvent ?? 1;
  }

  /** Prompt for the upstream, including the previous turns. */
  get prompt(): Buffer {
    return this.#prompt;
  }

  /** Number of events forwarded to the caller. */
  get events(): number {
    return this.#events;
  }

  /** Where the turn's stream began; undefined if it cannot be resumed. */
  get origin(): StreamOrigin | undefined {
    return this.#origin;
  }

  /**
   * Reserves tokens and looks up the previous turn concurrently. The record of
   * the reservation also says that `likely` begins the stream.
   */
  async prepare(
    likely: UpstreamEntry | undefined,
  ): Promise<TurnStartFailure | undefined> {
    const isResumed = isResumption(this.#call);
    if (this.#mustRecordOrigin && likely) {
      this.#origin = createOrigin(likely, FIRST_ORDINAL);
    }
    const [reservation, previous] = await Promise.all([
      this.#reserve(this.#origin),
      this.#findPrevious(),
    ]);
    if (previous?.kind === "absent") return "no_such_turn";
    if (previous?.kind === "unknown") return "unknown";
    if (reservation.verdict === "spent") return "budget_spent";
    if (reservation.verdict === "unknown") return "unknown";
    if (isResumed) {
      this.#origin = reservation.resumedOrigin;
      if (!this.#origin) return "origin_unknown";
    }
    this.hints = reservation.hints;
    if (previous?.kind === "found") {
      this.#prompt = Buffer.concat([previous.turn.prompt, this.#call.body]);
    }
    return undefined;
  }

  /**
   * Makes sure that the record of the turn names the software of the upstream
   * that is asked to begin the stream, or that nothing is known of it unless
   * its process is proven. Returns false if this is not confirmed.
   */
  async recordOrigin(
    entry: UpstreamEntry,
    { isProven }: { isProven: boolean },
  ): Promise<boolean> {
    if (!this.#mustRecordOrigin) return true;
    const current = this.#origin;
    if (isProven && current && runsSameSoftware(entry, current)) return true;
    const ordinal = (current?.ordinal ?? 0) + FIRST_ORDINAL;
    const origin = isProven
      ? createOrigin(entry, ordinal)
      : createUnknownOrigin(entry, ordinal);
    const { verdict } = await this.#reserve(origin);
    if (verdict !== "granted") return false;
    this.#origin = origin;
    return true;
  }

  /** Memory that is kept for the output, in bytes. */
  get keptOutputBytes(): number {
    return this.#output.keptBytes;
  }

  /** Number of output tokens forwarded to the caller. */
  get outputTokens(): number {
    return this.#events * this.#tokensPerEvent;
  }

  /** Updates a speed estimate with the attempt that completed the turn. */
  updateSpeed(
    speed: SpeedEstimate,
    opts: { uncachedTokens: number; eventTimes: EventTimes },
  ): void {
    const { eventTimes, uncachedTokens } = opts;
    speed.update({
      uncachedTokens,
      firstTokenMs: eventTimes.firstEventMs,
      outputTokens: (eventTimes.count - 1) * this.#tokensPerEvent + 1,
      decodeMs: eventTimes.decodeMs,
    });
  }

  /** Records an event that is forwarded to the caller. */
  recordEvent(event: StreamEvent): void {
    this.#events += 1;
    if (!this.#call.route.keepsTurns) return;
    this.#output.push(Buffer.from(event.data));
    this.#output.push(LINE_FEED);
  }

  /** Records the upstream that prefilled the prompt and completed the turn. */
  recordPrefill(upstream: UpstreamProcess): void {
    this.#prefilledBy = upstream;
  }

  /** Persists the finished turn; returns false if this is not confirmed. */
  async persist(upstream: string): Promise<boolean> {
    const { route, head, deadlineAt } = this.#call;
    if (!route.keepsTurns) return true;
    if (this.#output.hasOverflowed) return false;
    const prompt = Buffer.concat([this.#prompt, this.#output.take()]);
    const tokens = (head.promptTokens ?? 0) +
      this.outputTokens;
    return await this.#store.put(
      {
        id: this.#scoped(head.id),
        ...this.#ownership,
        prompt,
        upstream,
        tokens,
      },
      { keepMs: route.keepMs, deadlineMs: deadlineAt },
    );
  }

  /** Settles the reservation with the tokens spent; has an effect only once. */
  settle(): void {
    if (!this.#isReserved || this.#isSettled) return;
    this.#isSettled = true;
    const { head, route } = this.#call;
    this.#store.settle({
      program: this.#recordKey,
      turn: head.id,
      reserved: head.maxOutputTokens ?? 0,
      settled: this.outputTokens,
      hint: this.#createHint(),
      origin: this.#mustRecordOrigin ? this.#origin : undefined,
      keepMs: route.keepMs,
    });
  }

  /** Returns the hint that leads the next turn to the cached prompt prefix. */
  #createHint(): PromptHint | undefined {
    const parts = this.#call.head.promptParts.map((it) => ({ ...it }));
    const lastPart = parts.at(-1);
    if (!lastPart || this.#prefilledBy === undefined) return undefined;
    lastPart.tokens += this.outputTokens;
    const { id, startedAt } = this.#prefilledBy;
    return { parts, upstream: id, startedAt };
  }

  /** Whether a later request may resume the stream that this call begins. */
  get #mustRecordOrigin(): boolean {
    return this.#call.route.isResumable && !isResumption(this.#call);
  }

  /** Key of the turn's record; a stream outside a program has its own. */
  get #recordKey(): string {
    const { head } = this.#call;
    return this.#scoped(
      head.program ?? `stream/${head.resumedRequest ?? head.id}`,
    );
  }

  /** Field of the turn's record that names its owner, if it has one. */
  get #ownership(): { owner?: string } {
    const { organisation } = this.#call;
    return organisation ? { owner: organisation.name } : {};
  }

  #scoped(id: string): string {
    return scopedId(this.#call.organisation?.name, id);
  }

  async #reserve(origin: StreamOrigin | undefined): Promise<Reservation> {
    const { head, route, deadlineAt } = this.#call;
    const hasBudget = head.tokenBudget !== undefined && Boolean(head.program);
    if (!hasBudget && !route.isResumable) {
      return { verdict: "granted", hints: [], resumedOrigin: undefined };
    }
    this.#isReserved = true;
    return await this.#store.reserve(
      {
        program: this.#recordKey,
        turn: head.id,
        tokens: head.maxOutputTokens ?? 0,
        origin,
        resumed: isResumption(this.#call)
          ? { turn: head.resumedRequest }
          : undefined,
        keepMs: route.keepMs,
        budget: hasBudget ? head.tokenBudget ?? 0 : Infinity,
      },
      deadlineAt,
    );
  }

  async #findPrevious(): Promise<LookupVerdict | undefined> {
    const { head, route, deadlineAt } = this.#call;
    if (!route.keepsTurns || !head.previousTurn) return undefined;
    const id = this.#scoped(head.previousTurn);
    const verdict = await this.#store.find(id, deadlineAt);
    const isForeign = verdict.kind === "found" &&
      verdict.turn.owner !== this.#ownership.owner;
    return isForeign ? { kind: "absent" } : verdict;
  }
}
