import type { Logger } from "@toucantrestle/log";
import {
  afterFailure,
  type ChooserName,
  CHOOSERS,
  type CrashList,
  type KnownUpstream,
  type PrefixCache,
  type PromptPart,
  type UpstreamBook,
} from "@toucantrestle/routing";
import type { Timer } from "@toucantrestle/timer";
import type { TurnStoreClient } from "@toucantrestle/turn_store";
import type { ChannelFailure } from "@toucantrestle/upstream_channel";
import { breakOff, refuse, sendText } from "./answers.ts";
import { answerHeaders } from "./headers.ts";
import { type Attempt, type AttemptResult, startAttempt } from "./attempt.ts";
import type { Call } from "./call.ts";
import type { Protocol } from "./protocol.ts";
import { TurnState } from "./turn_state.ts";
import type { UpstreamPools } from "./upstream_pools.ts";

/** Everything that serving a call needs. */
export interface ServeOptions {
  protocol: Protocol;
  book: UpstreamBook;
  caches: PrefixCache;
  crashes: CrashList;
  pools: UpstreamPools;
  turns: TurnStoreClient;
  chooser: ChooserName;
  host: string;
  dataCentre: string;
  timer: Timer;
  log: Logger;
}

/** Urgency of the first rank; 0 is served first, 9 last. */
const FIRST_URGENCY = 3;
const MAX_URGENCY = 9;
/** Output that is expected of a turn whose caller gives no estimate, tokens. */
const DEFAULT_OUTPUT_TOKENS = 40;
/** Expected duration of a call of a plain service, in ms. */
const DEFAULT_WORK_MS = 100;
/** The time given to an upstream ends this much before the caller's. */
const DEADLINE_MARGIN_MS = 10;

/** Serves one call from the choice of an upstream to its answer. */
export async function serveCall(call: Call, opts: ServeOptions): Promise<void> {
  const turn = call.route.kind === "streaming"
    ? new TurnState({ store: opts.turns, call })
    : undefined;
  try {
    if (await passObstacles(call, turn, opts)) {
      await new CallRun(call, turn, opts).run();
    }
  } finally {
    turn?.settle();
  }
}

/** Answers a call that cannot run; true when nothing stands in its way. */
async function passObstacles(
  call: Call,
  turn: TurnState | undefined,
  opts: ServeOptions,
): Promise<boolean> {
  if (opts.crashes.isConvicted(call.fingerprint, opts.timer.steady())) {
    refuse(call.res, "convicted");
    return false;
  }
  const obstacle = await turn?.prepare();
  for (const { parts, upstream } of turn?.hints ?? []) {
    opts.caches.note(upstream, parts);
  }
  if (call.isAbandoned) return false;
  if (!obstacle) return true;
  opts.log.info(`${call.head.id} does not run: ${obstacle}`);
  if (obstacle === "budget_spent") sendText(call.res, 402, "budget is spent");
  else if (obstacle === "no_such_turn") sendText(call.res, 404, "no such turn");
  else refuse(call.res, "turns_unknown");
  return false;
}

/** Urgency of a turn: each rank goes before the next one. */
function urgencyOf(rank: number): number {
  return Math.min(MAX_URGENCY, FIRST_URGENCY + rank);
}

/** The attempts of one call. */
class CallRun {
  readonly #call: Call;
  readonly #turn: TurnState | undefined;
  readonly #opts: ServeOptions;
  readonly #excluded = new Set<string>();
  #runs = 0;
  #declines = 0;

  constructor(call: Call, turn: TurnState | undefined, opts: ServeOptions) {
    this.#call = call;
    this.#turn = turn;
    this.#opts = opts;
  }

  async run(): Promise<void> {
    while (!this.#call.isAbandoned) {
      const upstream = this.#choose();
      if (!upstream) return this.#answerWithoutUpstream();
      const result = await this.#attempt(upstream);
      const isDone = await this.#handle(upstream, result);
      if (isDone) return;
    }
  }

  #choose(): KnownUpstream | undefined {
    const { book, caches, timer, dataCentre, chooser } = this.#opts;
    const now = timer.steady();
    const candidates = book.candidates(this.#call.service, now)
      .filter((it) => !this.#excluded.has(it.entry.id));
    if (candidates.length === 0) return undefined;
    return CHOOSERS[chooser]({
      candidates,
      book,
      caches,
      parts: this.#parts(),
      promptTokens: this.#promptTokens(),
      outputTokens: this.#outputTokens(),
      workMs: DEFAULT_WORK_MS,
      lastUpstream: this.#turn?.hints.at(-1)?.upstream,
      dataCentre,
      now,
      draw: Math.random(),
    });
  }

  #promptTokens(): number {
    return this.#turn ? this.#call.head.promptTokens ?? 1 : 0;
  }

  #outputTokens(): number {
    return this.#call.head.expectedOutputTokens ?? DEFAULT_OUTPUT_TOKENS;
  }

  #parts(): PromptPart[] {
    return this.#call.head.promptParts;
  }

  async #attempt(upstream: KnownUpstream): Promise<AttemptResult> {
    const { timer, caches, pools, protocol } = this.#opts;
    const call = this.#call;
    const timeLeftMs = call.deadlineAt - timer.steady();
    const unread = Math.max(
      0,
      this.#promptTokens() -
        caches.cachedTokens(upstream.entry.id, this.#parts()),
    );
    upstream.own.running += 1;
    upstream.own.prefillTokens += unread;
    let isReading = true;
    const stopReading = () => {
      if (!isReading) return;
      isReading = false;
      upstream.own.prefillTokens -= unread;
    };
    if (this.#turn) caches.note(upstream.entry.id, this.#parts());
    const attempt = startAttempt({
      call,
      upstream,
      pool: pools.poolOf(upstream),
      protocol,
      body: this.#turn?.prompt ?? call.body,
      urgency: this.#turn ? urgencyOf(call.route.rank) : undefined,
      timeLeftMs: Math.max(1, Math.floor(timeLeftMs - DEADLINE_MARGIN_MS)),
      onEvent: (event) => this.#turn?.noteEvent(event),
      onFirstByte: stopReading,
    });
    const result = await this.#guard(attempt, timeLeftMs);
    stopReading();
    upstream.own.running -= 1;
    return result;
  }

  /** Stops the attempt when the caller leaves or the time is over. */
  async #guard(attempt: Attempt, timeLeftMs: number): Promise<AttemptResult> {
    const call = this.#call;
    const timeout = this.#opts.timer.after(
      Math.max(0, timeLeftMs),
      () => attempt.stop("deadline"),
    );
    call.onAbandon = () => attempt.stop("abandoned");
    const result = await attempt.result;
    call.onAbandon = undefined;
    timeout.cancel();
    return result;
  }

  /** Acts on an attempt's end; true when the call is over. */
  async #handle(
    upstream: KnownUpstream,
    result: AttemptResult,
  ): Promise<boolean> {
    const { id } = upstream.entry;
    switch (result.kind) {
      case "complete":
        this.#opts.book.noteSuccess(id);
        this.#turn?.noteRead(id);
        await this.#finish(upstream, result);
        return true;
      case "declined":
        this.#excluded.add(id);
        this.#declines += 1;
        if (result.status === 421) {
          this.#opts.book.noteFailure(id, this.#opts.timer.steady());
        }
        return this.#afterFailure("not_run");
      case "failed":
        this.#noteFailure(upstream, result.failure);
        if (result.failure.hadHead) {
          breakOff(this.#call.res);
          return true;
        }
        return this.#afterFailure(result.failure.verdict);
      case "stopped":
        this.#runs += 1;
        if (result.hadHead || result.why === "abandoned") {
          breakOff(this.#call.res);
        } else this.#answerTimeOver();
        return true;
    }
  }

  #noteFailure(upstream: KnownUpstream, failure: ChannelFailure): void {
    const { book, timer, crashes, log } = this.#opts;
    const { id } = upstream.entry;
    const now = timer.steady();
    this.#excluded.add(id);
    if (failure.verdict === "not_run") this.#declines += 1;
    else this.#runs += 1;
    log.info(
      `${this.#call.head.id} at ${id}: ${failure.reason}, ${failure.verdict}`,
    );
    const isDown = failure.reason === "connect_refused" ||
      failure.reason === "connect_timeout";
    if (isDown) book.noteFailure(id, now);
    const mayHaveCrashed = failure.reason === "connection_lost" &&
      failure.verdict === "may_have_run";
    if (mayHaveCrashed) crashes.note(this.#call.fingerprint, id, now);
  }

  #afterFailure(verdict: ChannelFailure["verdict"]): boolean {
    const call = this.#call;
    const next = afterFailure({
      route: call.route,
      verdict,
      runs: this.#runs,
      declines: this.#declines,
      timeLeftMs: call.deadlineAt - this.#opts.timer.steady(),
    });
    if (next === "retry") return false;
    if (next === "refuse") refuse(call.res, "upstreams_full");
    else if (next === "time_out") this.#answerTimeOver();
    else sendText(call.res, 502, "the upstream broke off; it may have run");
    return true;
  }

  #answerWithoutUpstream(): void {
    const { res } = this.#call;
    if (this.#runs > 0) {
      sendText(res, 502, "no other upstream; it may have run");
    } else if (this.#declines > 0) refuse(res, "upstreams_full");
    else refuse(res, "no_upstream");
  }

  #answerTimeOver(): void {
    sendText(this.#call.res, 504, "the time is over; it may have run");
  }

  /** Hands over the end of a complete answer. */
  async #finish(
    upstream: KnownUpstream,
    result: Extract<AttemptResult, { kind: "complete" }>,
  ): Promise<void> {
    const { res } = this.#call;
    const { head, rest } = result;
    const isWhole = head.status === 200 && this.#turn !== undefined;
    if (isWhole && !await this.#turn?.keep(upstream.entry.id)) {
      this.#opts.log.warn(`turn ${this.#call.head.id} cannot be kept`);
      if (res.headersSent) breakOff(res);
      else sendText(res, 502, "the turn ran but cannot be kept");
      return;
    }
    if (!res.headersSent) {
      res.writeHead(head.status, answerHeaders(head, this.#turn !== undefined));
    }
    this.#turn?.settle();
    for (const part of rest) res.write(part);
    res.end();
  }
}
