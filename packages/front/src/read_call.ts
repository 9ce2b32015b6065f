import type { Logger } from "@toucantrestle/log";
import { hash64 } from "@toucantrestle/membership";
import type { MemoryHolders } from "@toucantrestle/memory";
import type { Metrics } from "@toucantrestle/metrics";
import {
  chooseService,
  findRoute,
  type Route,
  type RoutingConfig,
} from "@toucantrestle/routing";
import type { Organisation } from "@toucantrestle/organisations";
import type { Timer } from "@toucantrestle/timer";
import type { IncomingMessage, ServerResponse } from "node:http";
import { refuse, sendText } from "./responses.ts";
import { closeAfter, recordRead } from "./caller_connection.ts";
import { AttemptLedger, neverAttempted } from "./attempt_ledger.ts";
import type { Call } from "./call.ts";
import { MAX_HEADER_BYTES } from "./listen.ts";
import type { Protocol } from "./protocol.ts";
import type { KeyRefusals } from "./key_refusals.ts";
import { readBody } from "./read_body.ts";
import { CallRecorder } from "./call_recorder.ts";

/** Bytes of the colon, the space and the line break of a header line. */
const LINE_OVERHEAD_BYTES = 4;

/** Options of `readCall`. */
export interface ReadCallOptions {
  /** Returns the configuration in effect; undefined before the first one. */
  config: () => RoutingConfig | undefined;
  keyRefusals: KeyRefusals;
  protocol: Protocol;
  /** What keeps memory for callers. */
  holders: MemoryHolders;
  log: Logger;
  metrics: Metrics;
  timer: Timer;
}

/**
 * Reads and validates a request. Sends an error response and returns undefined
 * if the request cannot be served.
 */
export async function readCall(
  req: IncomingMessage,
  res: ServerResponse,
  opts: ReadCallOptions,
): Promise<Call | undefined> {
  const arrivedAt = opts.timer.monotonicNow();
  const body = await readLimited(req, res, opts.config()?.limits);
  if (!body) return undefined;
  // The configuration may have changed while the body arrived.
  const config = opts.config();
  if (!config) {
    refuse(res, "no_config", { proof: neverAttempted() });
    return undefined;
  }
  const path = req.url ?? "/";
  const route = findRoute(config, req.headers.host ?? "", path);
  const organisation = identify(req, {
    config,
    route,
    protocol: opts.protocol,
  });
  if (organisation === "unknown") {
    const id = opts.protocol.parseHead(req.headers)?.id;
    opts.keyRefusals.refuse(res, {
      key: opts.protocol.parseKey(req.headers),
      id,
    });
    return undefined;
  }
  const service = route && chooseService(route, Math.random());
  if (!route || !service) {
    sendText(res, 404, "no route matches the host and path");
    return undefined;
  }
  const head = opts.protocol.parseHead(req.headers);
  if (!head) {
    sendText(res, 400, "request id is missing");
    return undefined;
  }
  const timeLimitMs = Math.min(head.timeLeftMs ?? Infinity, route.timeoutMs);
  let fingerprint: string | undefined;
  return {
    req,
    res,
    head,
    body,
    route,
    service,
    config,
    organisation,
    arrivedAt,
    deadlineAt: arrivedAt + timeLimitMs,
    attempts: new AttemptLedger(),
    // Hashes the whole body, and is needed only after a crash of an upstream.
    get fingerprint() {
      return fingerprint ??= fingerprintOf(req, body, {
        previousTurn: head.previousTurn,
        organisation: organisation?.name,
      });
    },
    recorder: new CallRecorder({
      head,
      route,
      organisation: organisation?.name,
      log: opts.log,
      metrics: opts.metrics,
      timer: opts.timer,
    }),
    isAbandoned: false,
    onAbandon: undefined,
  };
}

/**
 * Reads the body of a request. Sends an error response and returns undefined if
 * the request is larger than the limits allow.
 */
async function readLimited(
  req: IncomingMessage,
  res: ServerResponse,
  limits: RoutingConfig["limits"] | undefined,
): Promise<Buffer | undefined> {
  if (limits && headerSize(req) > limits.headerBytes) {
    closeAfter(res);
    sendText(res, 431, `request header exceeds ${limits.headerBytes} bytes`);
    return undefined;
  }
  const limit = limits?.bodyBytes ?? MAX_HEADER_BYTES;
  const result = await readBody(req, limit);
  if (result.kind === "whole") {
    recordRead(res);
    return result.body;
  }
  if (result.kind === "too_large") {
    closeAfter(res);
    sendText(res, 413, `request body exceeds ${limit} bytes`);
  }
  return undefined;
}

/**
 * Returns the organisation that sends a request. Returns undefined if none is
 * required, and `unknown` if one is required and the key is missing or unknown.
 */
function identify(
  req: IncomingMessage,
  { config, route, protocol }: {
    config: RoutingConfig;
    route: Route | undefined;
    protocol: Protocol;
  },
): Organisation | "unknown" | undefined {
  if (!config.organisations || route?.isPublic) return undefined;
  const key = protocol.parseKey(req.headers);
  return (key && config.organisations.findByKey(key)) || "unknown";
}

/** Returns the size of the header lines of a request, in bytes. */
function headerSize(req: IncomingMessage): number {
  const textBytes = req.rawHeaders.reduce((sum, it) => sum + it.length, 0);
  const lineCount = req.rawHeaders.length / 2;
  return textBytes + lineCount * LINE_OVERHEAD_BYTES;
}

/**
 * Returns a hash of organisation, method, path, previous turn and body.
 * Repetitions of a request have the same hash.
 */
function fingerprintOf(
  req: IncomingMessage,
  body: Buffer,
  opts: { previousTurn: string | undefined; organisation: string | undefined },
): string {
  const { previousTurn, organisation } = opts;
  const content = `${req.method} ${req.url} ${previousTurn ?? ""} ` +
    body.toString("latin1");
  const owned = organisation === undefined
    ? content
    : `${JSON.stringify(organisation)} ${content}`;
  return hash64(owned).toString(36);
}
