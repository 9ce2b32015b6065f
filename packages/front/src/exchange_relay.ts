import type { StreamReceiver, StreamServerHandlers } from "@toucantrestle/link";
import type { Logger } from "@toucantrestle/log";
import type { UpstreamProcess, UpstreamRegistry } from "@toucantrestle/routing";
import type { Timer } from "@toucantrestle/timer";
import {
  checkResponseHead,
  type ExchangeControl,
  type OutgoingRequest,
  type ProcessDemand,
  type RawResponseHead,
  type ResponseHandlers,
  type ResponseHead,
} from "@toucantrestle/upstream_channel";
import type { NoticeReader } from "./notice_reader.ts";
import {
  isConnectFailure,
  type PathFailure,
  type PathFailureReason,
} from "./path_failure.ts";
import { RelayFlow } from "./relay_flow.ts";
import type { UpstreamPools } from "./upstream_pools.ts";

/** A request that a sibling forwards to an upstream. */
export interface RelayedRequest {
  upstream: string;
  /**
   * Start time of the only process that may get the request, in ms since the
   * epoch; missing from fronts of earlier builds.
   */
  startedAt?: number;
  /**
   * Time within which the response is needed, in ms; missing from fronts of
   * earlier builds.
   */
  timeLeftMs?: number;
  /**
   * Which process may get the request; missing from fronts of earlier builds,
   * and ignored by them.
   */
  demand?: ProcessDemand | undefined;
  req: OutgoingRequest;
}

/** Part of a forwarded response. The last one is `end` or `failure`. */
export type RelayPart =
  | { kind: "head"; head: RawResponseHead }
  | { kind: "data"; bytes: Uint8Array }
  | { kind: "end" }
  | { kind: "failure"; failure: PathFailure };

/** What the asking front does with a forwarded exchange. */
export type RelayControl = "cancel" | "pause" | "resume";

/** Streams between fronts. */
export type FrontStreams = {
  /** Forwards a request to an upstream and its response back. */
  exchange: { args: RelayedRequest; part: RelayPart; control: RelayControl };
};

/** Opens an exchange over the link to a sibling; undefined if it is down. */
export type OpenRelay = (
  args: RelayedRequest,
  handlers: {
    onPart: (part: RelayPart) => void;
    onEnd: () => void;
    onLost: () => void;
  },
) => { send(control: RelayControl): void } | undefined;

/** Options of `serveRelayedExchange`. */
export interface RelayServerOptions {
  upstreamRegistry: UpstreamRegistry;
  pools: UpstreamPools;
  noticeReader: NoticeReader;
  /** Whether this front reaches upstreams itself. */
  canReachUpstreams: () => boolean;
  /** Returns how long this front still runs what it takes on, in ms. */
  runLeftMs: () => number;
  timer: Timer;
}

const REFUSED: PathFailure = {
  reason: "relay_refused",
  verdict: "not_run",
  hasDeliveredHead: false,
};

const OTHER_PROCESS: PathFailure = { ...REFUSED, reason: "other_process" };

/** Sends a request to an upstream through a sibling. */
export function sendThroughSibling(
  open: OpenRelay,
  { id: upstream, startedAt }: UpstreamProcess,
  { req, timeLeftMs, demand, handlers, log }: {
    req: OutgoingRequest;
    timeLeftMs: number;
    demand?: ProcessDemand | undefined;
    handlers: ResponseHandlers<PathFailureReason>;
    log: Logger;
  },
): ExchangeControl {
  let isOver = false;
  let hasDeliveredHead = false;

  function fail(failure: PathFailure): void {
    if (isOver) return;
    isOver = true;
    handlers.onFailure(failure);
  }

  /** Fails an exchange whose response cannot be passed on. */
  function abort(reason: unknown): void {
    log.warn(`malformed response to ${req.id} from a sibling: ${reason}`);
    stream?.send("cancel");
    fail({ reason: "bad_answer", verdict: "may_have_run", hasDeliveredHead });
  }

  function onPart(part: RelayPart): void {
    if (isOver) return;
    try {
      PART_HANDLERS[part.kind](part as never);
    } catch (err) {
      abort(err);
    }
  }

  const PART_HANDLERS: {
    [K in RelayPart["kind"]]: (part: Extract<RelayPart, { kind: K }>) => void;
  } = {
    head({ head }) {
      const check = checkResponseHead(head);
      if (check.kind === "malformed") return abort(check.reason);
      hasDeliveredHead = true;
      handlers.onHead(check.head);
    },
    data: ({ bytes }) => handlers.onData(Buffer.from(bytes)),
    end() {
      isOver = true;
      handlers.onEnd();
    },
    failure: ({ failure }) => fail(failure),
  };

  const onLost = () =>
    fail({ reason: "relay_lost", verdict: "may_have_run", hasDeliveredHead });
  const stream = open({ upstream, startedAt, timeLeftMs, demand, req }, {
    onPart,
    onEnd: onLost,
    onLost,
  });
  if (!stream) queueMicrotask(() => fail(REFUSED));
  return {
    cancel() {
      stream?.send("cancel");
      const verdict = stream ? "may_have_run" : "not_run";
      fail({ reason: "cancelled", verdict, hasDeliveredHead });
    },
    pause: () => stream?.send("pause"),
    resume: () => stream?.send("resume"),
  };
}

/**
 * Forwards a sibling's request to an upstream and the response back. Refuses
 * one that this front may not see through before it ends.
 */
export function serveRelayedExchange(
  { upstream: id, startedAt, timeLeftMs = 0, demand, req }: RelayedRequest,
  receiver: StreamReceiver<RelayPart>,
  opts: RelayServerOptions,
): StreamServerHandlers<RelayControl> {
  const { upstreamRegistry, noticeReader, pools, timer } = opts;
  const upstream = upstreamRegistry.get(id);
  const isUsable = upstream && upstreamRegistry.acceptsRequests(upstream) &&
    (startedAt ?? upstream.entry.startedAt) === upstream.entry.startedAt &&
    timer.monotonicNow() >= upstream.backoffUntil;
  const canFinish = timeLeftMs <= opts.runLeftMs();
  if (!isUsable || !canFinish || !opts.canReachUpstreams()) {
    const isReplaced = upstream !== undefined && startedAt !== undefined &&
      startedAt < upstream.entry.startedAt;
    const failure = demand === "proven" && isReplaced ? OTHER_PROCESS : REFUSED;
    receiver.send({ kind: "failure", failure });
    receiver.end();
    return { onControl() {}, onLost() {} };
  }
  const { entry } = upstream;
  const exchange = pools.poolOf(upstream).send(req, {
    onHead(head) {
      noticeReader.read(entry, head);
      receiver.send({ kind: "head", head: toRawHead(head) });
    },
    onData(chunk) {
      receiver.send({ kind: "data", bytes: chunk });
      flow.onSent();
    },
    onEnd() {
      flow.end();
      receiver.send({ kind: "end" });
      receiver.end();
    },
    onFailure(failure) {
      flow.end();
      if (isConnectFailure(failure)) {
        upstreamRegistry.recordFailure(entry, timer.monotonicNow());
      }
      receiver.send({ kind: "failure", failure });
      receiver.end();
    },
  }, demand);
  const flow = new RelayFlow({ exchange, receiver, timer });
  const controls: Record<RelayControl, () => void> = {
    cancel: () => exchange.cancel(),
    pause: () => flow.pause(),
    resume: () => flow.resume(),
  };
  return {
    onControl: (control) => controls[control]?.(),
    onLost: controls.cancel,
  };
}

function toRawHead({ status, rawHeaders }: ResponseHead): RawResponseHead {
  return { status, rawHeaders };
}
