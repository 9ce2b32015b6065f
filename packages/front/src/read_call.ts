import type { Logger } from "@toucantrestle/log";
import { hash64 } from "@toucantrestle/membership";
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
import type { CallHead, Protocol } from "./protocol.ts";
import type { KeyRefusals } from "./key_refusals.ts";
import type { BodyLimits, BodyReader, BodyResult } from "./body_reader.ts";
import { CallRecorder } from "./call_recorder.ts";

/** Bytes of the colon, the space and the line break of a header line. */
const LINE_OVERHEAD_BYTES = 4;
/** Time for the body of a request that cannot be served, without limits. */
const DEFAULT_REFUSED_BODY_MS = 60_000;

/** Options of `readCall`. */
export interface ReadCallOptions {
  /** Returns the configuration in effect; undefined before the first one. */
  config: () => RoutingConfig | undefined;
  keyRefusals: KeyRefusals;
  protocol: Protocol;
  bodies: BodyReader;
  log: Logger;
  metrics: Metrics;
  timer: Timer;
}

/** Why a request cannot be served, by its head. */
type HeadRefusal = "no_config" | "unknown_key" | "no_route" | "no_id";

/** What the configuration says about a request, by its head. */
interface Destination {
  config: RoutingConfig;
  route: Route;
  service: string;
  organisation: Organisation | undefined;
  head: CallHead;
}

/** Sends the responses to requests that cannot be served, by the reason. */
const REFUSERS: Record<
  HeadRefusal,
  (req: IncomingMessage, res: ServerResponse, opts: ReadCallOptions) => void
> = {
  no_config: (_req, res) =>
    refuse(res, "no_config", { proof: neverAttempted() }),
  unknown_key: ({ headers }, res, { protocol, keyRefusals }) =>
    keyRefusals.refuse(res, {
      key: protocol.parseKey(headers),
      id: protocol.parseHead(headers)?.id,
    }),
  no_route: (_req, res) =>
    sendText(res, 404, "no route matches the host and path"),
  no_id: (_req, res) => sendText(res, 400, "request id is missing"),
};

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
  const expected = examine(req, opts);
  const body = await readLimited(req, res, { arrivedAt, expected, opts });
  if (!body) return undefined;
  // The configuration may have changed while the body arrived.
  const destination = reexamine(req, expected, opts);
  if (typeof destination === "string") {
    REFUSERS[destination](req, res, opts);
    return undefined;
  }
  const { config, route, service, organisation, head } = destination;
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
    deadlineAt: arrivedAt + timeLimitMs(destination),
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

/** Returns where a request goes, or why it cannot be served now. */
function examine(
  req: IncomingMessage,
  { config: currentConfig, protocol }: ReadCallOptions,
): Destination | HeadRefusal {
  const config = currentConfig();
  if (!config) return "no_config";
  const path = req.url ?? "/";
  const route = findRoute(config, req.headers.host ?? "", path);
  const organisation = identify(req, { config, route, protocol });
  if (organisation === "unknown") return "unknown_key";
  const service = route && chooseService(route, Math.random());
  if (!route || !service) return "no_route";
  const head = protocol.parseHead(req.headers);
  if (!head) return "no_id";
  return { config, route, service, organisation, head };
}

/** Examines a request again if the configuration is another one by now. */
function reexamine(
  req: IncomingMessage,
  before: Destination | HeadRefusal,
  opts: ReadCallOptions,
): Destination | HeadRefusal {
  const isUnchanged = typeof before !== "string" &&
    before.config === opts.config();
  return isUnchanged ? before : examine(req, opts);
}

function timeLimitMs({ head, route }: Destination): number {
  return Math.min(head.timeLeftMs ?? Infinity, route.timeoutMs);
}

/**
 * Reads the body of a request. Sends an error response, after which the
 * connection ends, and returns undefined if it is larger or later than it may
 * be. Of a request that the configuration does not serve, only a small body is
 * read, in case the configuration changes.
 */
async function readLimited(
  req: IncomingMessage,
  res: ServerResponse,
  { arrivedAt, expected, opts }: {
    arrivedAt: number;
    expected: Destination | HeadRefusal;
    opts: ReadCallOptions;
  },
): Promise<Buffer | undefined> {
  const limits = opts.config()?.limits;
  if (limits && headerSize(req) > limits.headerBytes) {
    closeAfter(res);
    sendText(res, 431, `request header exceeds ${limits.headerBytes} bytes`);
    return undefined;
  }
  const bodyLimits = bodyLimitsOf(expected, { arrivedAt, limits });
  const result = await opts.bodies.read(req, bodyLimits);
  if (result.kind === "whole") {
    recordRead(res);
    return result.body;
  }
  if (result.kind === "cut") return undefined;
  closeAfter(res);
  if (typeof expected === "string") REFUSERS[expected](req, res, opts);
  else BODY_REFUSERS[result.kind](res, bodyLimits);
  return undefined;
}

/** Sends the responses to requests whose body is not read whole, by reason. */
const BODY_REFUSERS: Record<
  Exclude<BodyResult["kind"], "whole" | "cut">,
  (res: ServerResponse, limits: BodyLimits) => void
> = {
  too_large: (res, { maxBytes }) =>
    sendText(res, 413, `request body exceeds ${maxBytes} bytes`),
  late: (res) =>
    refuse(res, "late_body", { proof: neverAttempted(), status: 408 }),
  memory_full: (res) => refuse(res, "memory_full", { proof: neverAttempted() }),
};

function bodyLimitsOf(
  expected: Destination | HeadRefusal,
  { arrivedAt, limits }: {
    arrivedAt: number;
    limits: RoutingConfig["limits"] | undefined;
  },
): BodyLimits {
  const maxBytes = limits?.bodyBytes ?? MAX_HEADER_BYTES;
  if (typeof expected !== "string") {
    return { maxBytes, deadlineAt: arrivedAt + timeLimitMs(expected) };
  }
  return {
    maxBytes: Math.min(maxBytes, MAX_HEADER_BYTES),
    deadlineAt: arrivedAt +
      (limits?.headerTimeoutMs ?? DEFAULT_REFUSED_BODY_MS),
  };
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
