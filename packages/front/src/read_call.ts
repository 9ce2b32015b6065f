import type { Logger } from "@toucantrestle/log";
import { hash64 } from "@toucantrestle/membership";
import type { Metrics } from "@toucantrestle/metrics";
import {
  findRoute,
  type RoutingConfig,
  serviceFor,
} from "@toucantrestle/routing";
import type { Timer } from "@toucantrestle/timer";
import type { IncomingMessage, ServerResponse } from "node:http";
import { refuse, sendText } from "./responses.ts";
import type { Call } from "./call.ts";
import { MAX_HEADER_BYTES } from "./listen.ts";
import type { Protocol } from "./protocol.ts";
import { readBody } from "./read_body.ts";
import { CallRecorder } from "./call_recorder.ts";

/** Colon, space and line end of a header line. */
const LINE_OVERHEAD_BYTES = 4;

/** What reading a request needs. */
export interface ReadCallOptions {
  /** Configuration in force; undefined before the first. */
  config: RoutingConfig | undefined;
  protocol: Protocol;
  log: Logger;
  metrics: Metrics;
  timer: Timer;
}

/** Reads a request; answers it and returns nothing where it cannot be served. */
export async function readCall(
  req: IncomingMessage,
  res: ServerResponse,
  opts: ReadCallOptions,
): Promise<Call | undefined> {
  const arrivedAt = opts.timer.steady();
  const { config } = opts;
  if (config && headerSize(req) > config.limits.headerBytes) {
    res.setHeader("connection", "close");
    sendText(res, 431, "the header is too large");
    return undefined;
  }
  const limit = config?.limits.bodyBytes ?? MAX_HEADER_BYTES;
  const result = await readBody(req, limit);
  if (result.kind === "cut") return undefined;
  if (result.kind === "too_large") {
    res.setHeader("connection", "close");
    sendText(res, 413, "the body is too large");
    return undefined;
  }
  if (!config) {
    refuse(res, "no_config");
    return undefined;
  }
  const path = req.url ?? "/";
  const route = findRoute(config, req.headers.host ?? "", path);
  const service = route && serviceFor(route, Math.random());
  if (!route || !service) {
    sendText(res, 404, "no route matches");
    return undefined;
  }
  const head = opts.protocol.readHead(req.headers);
  if (!head) {
    sendText(res, 400, "the request has no id");
    return undefined;
  }
  const timeLimitMs = Math.min(head.timeLeftMs ?? Infinity, route.timeoutMs);
  return {
    req,
    res,
    head,
    body: result.body,
    route,
    service,
    config,
    arrivedAt,
    deadlineAt: arrivedAt + timeLimitMs,
    fingerprint: fingerprintOf(req, result.body, head.previousTurn),
    recorder: new CallRecorder({
      head,
      route,
      log: opts.log,
      metrics: opts.metrics,
      timer: opts.timer,
    }),
    isAbandoned: false,
    onAbandon: undefined,
  };
}

/** Bytes of the header lines of a request. */
function headerSize(req: IncomingMessage): number {
  const textBytes = req.rawHeaders.reduce((sum, it) => sum + it.length, 0);
  const lineCount = req.rawHeaders.length / 2;
  return textBytes + lineCount * LINE_OVERHEAD_BYTES;
}

/** Two requests with the same method, path, body and history are the same. */
function fingerprintOf(
  req: IncomingMessage,
  body: Buffer,
  previousTurn: string | undefined,
): string {
  const content = `${req.method} ${req.url} ${previousTurn ?? ""} ` +
    body.toString("latin1");
  return hash64(content).toString(36);
}
