import type { SpeedEstimate } from "@toucantrestle/policy";
import type { LookupVerdict, PromptHint } from "@toucantrestle/turn_log";
import type { Reservation, TurnStoreClient } from "@toucantrestle/turn_store";
import type { Call } from "./call.ts";
import type { StreamEvent } from "./event_splitter.ts";
import type { EventTimes } from "./event_times.ts";

/** Why a turn cannot start. */
export type TurnStartFailure = "budget_spent" | "no_such_turn" | "unknown";

const LINE_FEED = Buffer.from("\n");

/** State of the turn that a call runs: prompt, output and token reservation. */
export class TurnState {
  readonly #store: TurnStoreClient;
  readonly #call: Call;
  readonly #tokensPerEvent: number;
  readonly #outputs: Buffer[] = [];
  #prompt: Buffer;
  #events = 0;
  #isReserved = false;
  #isSettled = false;
  /** Which upstreams have prefilled prompts of this program. */
  hints: PromptHint[] = [];
  /** Id of the upstream that prefilled the prompt of this turn. */
  #prefilledBy: string | undefined;

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

  /** Reserves tokens and looks up the previous turn concurrently. */
  async prepare(): Promise<TurnStartFailure | undefined> {
    const [reservation, previous] = await Promise.all([
      this.#reserve(),
      this.#findPrevious(),
    ]);
    if (previous?.kind === "absent") return "no_such_turn";
    if (previous?.kind === "unknown") return "unknown";
    if (reservation.verdict === "spent") return "budget_spent";
    if (reservation.verdict === "unknown") return "unknown";
    this.hints = reservation.hints;
    if (previous?.kind === "found") {
      this.#prompt = Buffer.concat([previous.turn.prompt, this.#call.body]);
    }
    return undefined;
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
    this.#outputs.push(Buffer.from(event.data), LINE_FEED);
  }

  /** Records the upstream that prefilled the prompt and completed the turn. */
  recordPrefill(upstream: string): void {
    this.#prefilledBy = upstream;
  }

  /** Persists the finished turn; returns false if this is not confirmed. */
  async persist(upstream: string): Promise<boolean> {
    const { route, head, deadlineAt } = this.#call;
    if (!route.keepsTurns) return true;
    const prompt = Buffer.concat([this.#prompt, ...this.#outputs]);
    const tokens = (head.promptTokens ?? 0) +
      this.outputTokens;
    return await this.#store.put(
      { id: head.id, prompt, upstream, tokens },
      { keepMs: route.keepMs, deadlineMs: deadlineAt },
    );
  }

  /** Settles the reservation with the tokens spent; has an effect only once. */
  settle(): void {
    if (!this.#isReserved || this.#isSettled) return;
    this.#isSettled = true;
    const { head, route } = this.#call;
    this.#store.settle({
      program: head.program ?? "",
      turn: head.id,
      reserved: head.maxOutputTokens ?? 0,
      settled: this.outputTokens,
      hint: this.#createHint(),
      keepMs: route.keepMs,
    });
  }

  /** Returns the hint that leads the next turn to the cached prompt prefix. */
  #createHint(): PromptHint | undefined {
    const parts = this.#call.head.promptParts.map((it) => ({ ...it }));
    const lastPart = parts.at(-1);
    if (!lastPart || this.#prefilledBy === undefined) return undefined;
    lastPart.tokens += this.outputTokens;
    return { parts, upstream: this.#prefilledBy };
  }

  async #reserve(): Promise<Reservation> {
    const { head, route, deadlineAt } = this.#call;
    if (head.tokenBudget === undefined || !head.program) {
      return { verdict: "granted", hints: [] };
    }
    this.#isReserved = true;
    return await this.#store.reserve(
      {
        program: head.program,
        turn: head.id,
        tokens: head.maxOutputTokens ?? 0,
        keepMs: route.keepMs,
        budget: head.tokenBudget,
      },
      deadlineAt,
    );
  }

  async #findPrevious(): Promise<LookupVerdict | undefined> {
    const { head, route, deadlineAt } = this.#call;
    if (!route.keepsTurns || !head.previousTurn) return undefined;
    return await this.#store.find(head.previousTurn, deadlineAt);
  }
}
