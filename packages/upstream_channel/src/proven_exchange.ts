import type { Timer } from "@toucantrestle/timer";
import { askProcess, type QuestionResult } from "./ask_process.ts";
import type { Channel } from "./channel.ts";
import type {
  ChannelFailure,
  ChannelFailureReason,
  ExchangeControl,
  OutgoingRequest,
  ResponseHandlers,
} from "./exchange.ts";
import type { IdentityVerdict, ProcessIdentity } from "./process_identity.ts";

/** Options of `sendProven`. */
export interface ProvenExchangeOptions {
  req: OutgoingRequest;
  handlers: ResponseHandlers;
  identity: ProcessIdentity;
  timer: Timer;
  /** Returns an idle connection to a proven process, if there is one. */
  takeProven: () => Channel | undefined;
  /** Returns any connection. */
  take: () => Channel;
  /** Records that the process at the end of a connection is proven. */
  recordProven: (channel: Channel) => void;
  /** Whether the request may still be sent. */
  maySend: () => boolean;
  /** Takes a connection that has become idle; false if it is gone. */
  claim: (channel: Channel) => boolean;
}

/** Connections that are tried, as an idle one may have ended meanwhile. */
const MAX_TRIES = 3;

/**
 * Sends a request on a connection whose other end is the expected process, and
 * asks for its name if need be. Fails with `not_run` if that can't be shown.
 */
export function sendProven(opts: ProvenExchangeOptions): ExchangeControl {
  const { req, handlers, identity, timer } = opts;
  let channel: Channel | undefined;
  let cancelQuestion: (() => void) | undefined;
  let isCancelled = false;
  let tries = 0;

  const HANDLERS: Record<IdentityVerdict, (on: Channel) => void> = {
    proven(on) {
      opts.recordProven(on);
      on.send(req, handlers);
    },
    trusted: (on) => on.send(req, handlers),
    ask_again: ask,
    other_process: () => fail("other_process"),
    unknown_process: () => fail("unknown_process"),
  };

  function fail(reason: ChannelFailureReason): void {
    handlers.onFailure({ reason, verdict: "not_run", hasDeliveredHead: false });
  }

  function start(): void {
    tries += 1;
    channel = opts.takeProven();
    if (channel) return channel.send(req, handlers);
    const verdict = identity.verdictUnasked();
    if (verdict === "unknown_process") {
      // Whoever sends gets no failure before the control of the exchange.
      return queueMicrotask(() => fail(verdict));
    }
    channel = opts.take();
    HANDLERS[verdict](channel);
  }

  function ask(on: Channel): void {
    const { question } = identity;
    if (!question) return fail("unknown_process");
    cancelQuestion = askProcess(on, {
      question,
      timer,
      onResult: (result) => onResult(on, result),
    });
  }

  function onResult(on: Channel, result: QuestionResult): void {
    cancelQuestion = undefined;
    if (isCancelled) return fail("cancelled");
    if (result.kind === "failure") return onFailure(result.failure);
    const verdict = identity.verdictOn(result);
    const isOver = verdict === "other_process" || verdict === "unknown_process";
    if (isOver) return fail(verdict);
    if (!opts.maySend()) return fail("not_wanted");
    if (opts.claim(on)) HANDLERS[verdict](on);
    else retryOrFail("connection_lost");
  }

  function onFailure({ reason }: ChannelFailure): void {
    // A connection that was idle may have ended before the question arrived.
    if (reason === "connection_lost") retryOrFail(reason);
    else fail(reason);
  }

  function retryOrFail(reason: ChannelFailureReason): void {
    if (tries < MAX_TRIES) start();
    else fail(reason);
  }

  start();
  return {
    cancel() {
      if (!cancelQuestion) return channel?.cancel(req.id);
      isCancelled = true;
      cancelQuestion();
    },
    pause: () => channel?.pause(req.id),
    resume: () => channel?.resume(req.id),
  };
}
