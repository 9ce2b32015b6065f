import { ByteCollector, type MemoryHolders } from "@toucantrestle/memory";
import type { TrackedUpstream } from "@toucantrestle/routing";
import type {
  ProcessDemand,
  ResponseHead,
} from "@toucantrestle/upstream_channel";
import type { Verdict } from "@toucantrestle/verdict";
import type { Call } from "./call.ts";
import type { StreamEvent } from "./event_splitter.ts";
import { EventSplitter } from "./event_splitter.ts";
import { upstreamHeaders } from "./headers.ts";
import type { PathFailure } from "./path_failure.ts";
import type { Protocol } from "./protocol.ts";
import type { StreamBudget } from "./stream_budget.ts";
import { isWholeStream, type ReceivedBody } from "./response_body.ts";
import { reserveEnd, writeResponseHead } from "./response_head.ts";
import { ResponseWriter } from "./response_writer.ts";
import { disconnectReader } from "./responses.ts";
import type { UpstreamPath } from "./upstream_paths.ts";

/** Result of one attempt on an upstream. */
export type AttemptResult =
  /**
   * The response is complete. `unsentBody` holds the part of the body that is
   * not forwarded yet; the caller's response is not ended.
   */
  | {
    kind: "complete";
    head: ResponseHead;
    unsentBody: Buffer;
    received: ReceivedBody;
  }
  /** The upstream did not run the request. */
  | { kind: "declined"; status: number }
  /** `received` is undefined if there was no response head. */
  | {
    kind: "failed";
    failure: PathFailure;
    received: ReceivedBody | undefined;
  }
  /** This front stopped the attempt. */
  | { kind: "stopped"; reason: StopReason; hasDeliveredHead: boolean };

/** Returns whether the upstream of an attempt may have run the request. */
export function verdictOf(result: AttemptResult): Verdict {
  if (result.kind === "complete") return "ran";
  if (result.kind === "declined") return "not_run";
  return result.kind === "failed" ? result.failure.verdict : "may_have_run";
}

/** Why this front stops an attempt. */
export type StopReason = "deadline" | "abandoned" | "slow";

/** Options of `startAttempt`. */
export interface AttemptOptions {
  call: Call;
  upstream: TrackedUpstream;
  path: UpstreamPath;
  protocol: Protocol;
  body: Uint8Array;
  /** Which process of the upstream may get the request. */
  demand: ProcessDemand;
  urgency: number | undefined;
  /** Id of the caller's last event, if this attempt resumes a stream. */
  resumeAfter: string | undefined;
  timeLeftMs: number;
  holders: MemoryHolders;
  /** What the stream may still bring. */
  budget: StreamBudget;
  /** Returns the memory that is kept for the turn's output, in bytes. */
  keptOutputBytes: () => number;
  /** Called with each event before it is forwarded. */
  onEvent: (event: StreamEvent) => void;
  /** Called with the head of each response of the upstream. */
  onHead: (head: ResponseHead) => void;
}

/** Response bodies up to this size, in bytes, are buffered until complete. */
const MAX_BUFFERED_BYTES = 262_144;

/** An attempt in progress. */
export interface Attempt {
  result: Promise<AttemptResult>;
  /** Whether the caller has the head of the response. */
  readonly hasDeliveredHead: boolean;
  stop(reason: StopReason): void;
  /** Fails the attempt because the way to its upstream is cut. */
  interrupt(): void;
}

/** Sends a request to an upstream and forwards the response as it arrives. */
export function startAttempt(opts: AttemptOptions): Attempt {
  const { call, protocol, path } = opts;
  const { res } = call;
  const isStream = call.route.kind === "streaming";
  const isEventStream = (from: ResponseHead) => isStream && from.status === 200;
  const splitter = new EventSplitter();
  let head: ResponseHead | undefined;
  const buffered = new ByteCollector({ maxBytes: MAX_BUFFERED_BYTES });
  let bodyBytes = 0;
  let isForwarding = opts.resumeAfter !== undefined;
  let isPathLost = false;
  let stopReason: StopReason | undefined;
  let settle: (result: AttemptResult) => void;
  const result = new Promise<AttemptResult>((resolve) => {
    settle = resolve;
  });
  const removeHolder = opts.holders.add({
    purpose: isStream ? "streams" : "responses",
    isIrreplaceable: call.route.kind === "non_idempotent",
    keptBytes: () =>
      buffered.keptBytes + splitter.keptBytes + writer.keptBytes +
      opts.keptOutputBytes(),
    cut: () => fail(badResponse),
  });

  const writer = new ResponseWriter({
    res,
    onFull: () => exchange.pause(),
    onTaken: () => exchange.resume(),
  });

  /** What was received before is written, as another attempt may go on. */
  function resolveResult(value: AttemptResult): void {
    writer.flush();
    removeHolder();
    settle(value);
  }

  function receivedBody(from: ResponseHead): ReceivedBody {
    return {
      delimiter: from.bodyDelimiter,
      bytes: bodyBytes,
      events: splitter.eventCount,
      partialEventBytes: splitter.partialEventBytes,
    };
  }

  function resolveFailed(failure: PathFailure): void {
    resolveResult({
      kind: "failed",
      failure: { ...failure, hasDeliveredHead: isForwarding },
      received: head && receivedBody(head),
    });
  }

  function fail(failure: PathFailure): void {
    resolveFailed(failure);
    exchange.cancel();
  }

  function forwardHead(): void {
    if (isForwarding || !head) return;
    isForwarding = true;
    writeResponseHead(res, head, {
      isEventStream: isEventStream(head),
      isWhole: false,
    });
    res.flushHeaders();
  }

  /**
   * Writes what its caller is recorded to have. If it cannot be kept until the
   * caller takes it, no other attempt may go on behind it.
   */
  function write(bytes: Buffer): void {
    forwardHead();
    if (writer.write(bytes)) return;
    disconnectReader(call);
    fail(badResponse);
  }

  function onStreamData(chunk: Buffer): void {
    const { bytes, events } = splitter.push(chunk);
    let acceptedBytes = 0;
    for (const event of events) {
      if (isAlreadyForwarded(event, opts.resumeAfter)) break;
      if (!opts.budget.take(event.end - acceptedBytes)) break;
      opts.onEvent(event);
      acceptedBytes = event.end;
    }
    if (acceptedBytes > 0) write(bytes.subarray(0, acceptedBytes));
    if (opts.budget.isSpent) return fail(beyondRequest);
    const isSound = acceptedBytes === bytes.length && !splitter.isTooLong;
    if (!isSound) fail(badResponse);
  }

  /** Ignores the body; one that is too long is not awaited. */
  function onDeclinedData({ status }: ResponseHead): void {
    if (bodyBytes <= MAX_BUFFERED_BYTES) return;
    resolveResult({ kind: "declined", status });
    exchange.cancel();
  }

  function onBodyData(chunk: Buffer): void {
    if (isForwarding) return write(chunk);
    if (buffered.bytes + chunk.length <= MAX_BUFFERED_BYTES) {
      buffered.push(chunk);
      return;
    }
    if (head && !reserveEnd(res, head, { isEventStream: false })) {
      return fail(endUnmarked);
    }
    write(buffered.take());
    write(chunk);
  }

  const exchange = path.send(
    {
      id: call.head.id,
      method: call.req.method ?? "GET",
      path: call.req.url ?? "/",
      headers: upstreamHeaders({
        rawHeaders: call.req.rawHeaders,
        protocol,
        bodyBytes: opts.body.length,
        method: call.req.method ?? "GET",
        attributes: {
          timeLeftMs: opts.timeLeftMs,
          upstreamId: opts.upstream.entry.id,
          urgency: opts.urgency,
          organisation: call.organisation?.name,
        },
        hidesIdentity: call.config.organisations !== undefined,
        resumeAfter: opts.resumeAfter,
      }),
      body: opts.body,
    },
    {
      onHead(received) {
        opts.onHead(received);
        const hasExpectedStatus = opts.resumeAfter === undefined ||
          received.status === 200 || protocol.isDeclined(received);
        if (hasExpectedStatus && isTrusted(received, protocol)) head = received;
        else fail(badResponse);
      },
      onData(chunk) {
        if (!head) return;
        bodyBytes += chunk.length;
        if (protocol.isDeclined(head)) onDeclinedData(head);
        else if (isEventStream(head)) onStreamData(chunk);
        else onBodyData(chunk);
      },
      onEnd() {
        if (!head) return;
        if (protocol.isDeclined(head)) {
          resolveResult({ kind: "declined", status: head.status });
          return;
        }
        const received = receivedBody(head);
        if (isEventStream(head) && !isWholeStream(received)) {
          fail(interruptedStream(received));
          return;
        }
        resolveResult({
          kind: "complete",
          head,
          unsentBody: buffered.take(),
          received,
        });
      },
      onFailure(failure) {
        if (stopReason) {
          resolveResult({
            kind: "stopped",
            reason: stopReason,
            hasDeliveredHead: isForwarding,
          });
          return;
        }
        const reason = isPathLost ? "path_lost" : failure.reason;
        resolveFailed({ ...failure, reason });
      },
    },
    opts.demand,
  );
  return {
    result,
    get hasDeliveredHead() {
      return isForwarding;
    },
    stop(reason) {
      stopReason = reason;
      exchange.cancel();
    },
    interrupt() {
      isPathLost = true;
      exchange.cancel();
    },
  };
}

const badResponse: PathFailure = {
  reason: "bad_answer",
  verdict: "may_have_run",
  hasDeliveredHead: false,
};

const beyondRequest: PathFailure = {
  ...badResponse,
  reason: "beyond_request",
};

const endUnmarked: PathFailure = { ...badResponse, reason: "end_unmarked" };

/**
 * Returns the failure of a stream that is not whole. If only the end of the
 * connection marks the end of the body, the connection ended too early.
 */
function interruptedStream({ delimiter }: ReceivedBody): PathFailure {
  if (delimiter !== "close") return badResponse;
  return { ...badResponse, reason: "connection_lost" };
}

/**
 * Whether a resumed stream repeats an event that the caller already has. An
 * event without an id counts as repeated.
 */
function isAlreadyForwarded(
  event: StreamEvent,
  lastEventId: string | undefined,
): boolean {
  if (lastEventId === undefined) return false;
  return event.id === undefined || Number(event.id) <= Number(lastEventId);
}

/** Statuses that assure a caller that its request did not run. */
const NOT_RUN_STATUSES = new Set([408, 421, 429, 503]);

/**
 * Whether a response may be forwarded. A successful one must carry the mark of
 * an upstream, and a status that says the request did not run must be confirmed
 * by the upstream.
 */
function isTrusted(head: ResponseHead, protocol: Protocol): boolean {
  if (head.status < 300) return protocol.hasUpstreamMark(head);
  return !NOT_RUN_STATUSES.has(head.status) || protocol.isDeclined(head);
}
