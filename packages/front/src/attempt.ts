import type { KnownUpstream } from "@toucantrestle/routing";
import type {
  AnswerHead,
  ChannelFailure,
  ChannelPool,
} from "@toucantrestle/upstream_channel";
import type { Call } from "./call.ts";
import type { StreamEvent } from "./event_splitter.ts";
import { EventSplitter } from "./event_splitter.ts";
import { answerHeaders, upstreamHeaders } from "./headers.ts";
import type { Protocol } from "./protocol.ts";

/** How one attempt at an upstream ended. */
export type AttemptResult =
  /** The answer is complete; nothing of its end has reached the caller. */
  | { kind: "complete"; head: AnswerHead; rest: Buffer[] }
  /** The upstream did not run the request. */
  | { kind: "declined"; status: number }
  | { kind: "failed"; failure: ChannelFailure }
  /** It was stopped from here. */
  | { kind: "stopped"; why: StopReason; hadHead: boolean };

/** Why an attempt is stopped from here. */
export type StopReason = "deadline" | "abandoned" | "slow";

/** What an attempt needs. */
export interface AttemptOptions {
  call: Call;
  upstream: KnownUpstream;
  pool: ChannelPool;
  protocol: Protocol;
  body: Uint8Array;
  urgency: number | undefined;
  /** Last event that the caller has of an answer that goes on with this one. */
  resumeAfter: string | undefined;
  timeLeftMs: number;
  /** Called with each event before it is passed on. */
  onEvent: (event: StreamEvent) => void;
  onFirstByte: () => void;
}

/** Answers up to this size are held until they are whole. */
const MAX_HELD_BYTES = 262_144;
/** A caller that reads this far behind is given up. */
const MAX_UNREAD_BYTES = 4_000_000;

/** An attempt in progress. */
export interface Attempt {
  result: Promise<AttemptResult>;
  stop(why: StopReason): void;
}

/** Sends a request to an upstream and passes the answer on as it comes. */
export function startAttempt(opts: AttemptOptions): Attempt {
  const { call, protocol, pool } = opts;
  const { res } = call;
  const isStream = call.route.kind === "streaming";
  const splitter = new EventSplitter();
  let head: AnswerHead | undefined;
  let held: Buffer[] = [];
  let heldBytes = 0;
  let isPassing = opts.resumeAfter !== undefined;
  let why: StopReason | undefined;
  let resolveResult: (result: AttemptResult) => void;
  const result = new Promise<AttemptResult>((resolve) => {
    resolveResult = resolve;
  });

  function fail(failure: ChannelFailure): void {
    resolveResult({
      kind: "failed",
      failure: { ...failure, hadHead: isPassing },
    });
    exchange.cancel();
  }

  function passHead(): void {
    if (isPassing || !head) return;
    isPassing = true;
    res.writeHead(head.status, answerHeaders(head, isStream));
    res.flushHeaders();
  }

  function write(bytes: Buffer): void {
    passHead();
    res.write(bytes);
    if (res.writableLength > MAX_UNREAD_BYTES) res.destroy();
  }

  function onStreamData(chunk: Buffer): void {
    for (const event of splitter.push(chunk)) {
      if (isRepeated(event, opts.resumeAfter)) return fail(badAnswer);
      opts.onEvent(event);
      write(event.bytes);
    }
  }

  function onPlainData(chunk: Buffer): void {
    if (isPassing) return write(chunk);
    held.push(Buffer.from(chunk));
    heldBytes += chunk.length;
    if (heldBytes <= MAX_HELD_BYTES) return;
    for (const part of held) write(part);
    held = [];
  }

  const exchange = pool.send(
    {
      id: call.head.id,
      method: call.req.method ?? "GET",
      path: call.req.url ?? "/",
      headers: upstreamHeaders({
        rawHeaders: call.req.rawHeaders,
        protocol,
        bodyBytes: opts.body.length,
        method: call.req.method ?? "GET",
        marks: {
          timeLeftMs: opts.timeLeftMs,
          upstreamId: opts.upstream.entry.id,
          urgency: opts.urgency,
        },
        resumeAfter: opts.resumeAfter,
      }),
      body: opts.body,
    },
    {
      onHead(answer) {
        opts.onFirstByte();
        const fits = opts.resumeAfter === undefined ||
          answer.status === 200 || protocol.isDeclined(answer);
        if (fits && isTrusted(answer, protocol)) head = answer;
        else fail(badAnswer);
      },
      onData(chunk) {
        if (!head || protocol.isDeclined(head)) return;
        if (isStream && head.status === 200) onStreamData(chunk);
        else onPlainData(chunk);
      },
      onEnd() {
        if (!head) return;
        if (protocol.isDeclined(head)) {
          resolveResult({ kind: "declined", status: head.status });
          return;
        }
        if (splitter.hasPartial) {
          fail(badAnswer);
          return;
        }
        resolveResult({ kind: "complete", head, rest: held });
      },
      onFailure(failure) {
        if (why) {
          resolveResult({ kind: "stopped", why, hadHead: isPassing });
          return;
        }
        resolveResult({
          kind: "failed",
          failure: { ...failure, hadHead: isPassing },
        });
      },
    },
  );
  return {
    result,
    stop(reason) {
      why = reason;
      exchange.cancel();
    },
  };
}

const badAnswer: ChannelFailure = {
  reason: "bad_answer",
  verdict: "may_have_run",
  hadHead: false,
};

/** Whether an event of a resumed stream is one that the caller has. */
function isRepeated(event: StreamEvent, last: string | undefined): boolean {
  if (last === undefined) return false;
  return event.id === undefined || Number(event.id) <= Number(last);
}

/** Statuses that promise a caller that its request did not run. */
const PROMISES = new Set([408, 421, 429, 503]);

/**
 * Whether an answer may be passed on: a success bears the upstream's mark, and
 * a promise that nothing ran comes from an upstream that says so.
 */
function isTrusted(head: AnswerHead, protocol: Protocol): boolean {
  if (head.status < 300) return protocol.isGenuine(head);
  return !PROMISES.has(head.status) || protocol.isDeclined(head);
}
