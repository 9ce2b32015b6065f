import { ReadTurns } from "@toucantrestle/connection";
import { type ListenOptions, listenWhenFree } from "@toucantrestle/lifecycle";
import { MemoryHolders } from "@toucantrestle/memory";
import type { Timer } from "@toucantrestle/timer";
import {
  BadRequestError,
  ForbiddenError,
  NotFoundError,
  toProblem,
  UnauthorizedError,
  UnavailableError,
  type Verdict,
} from "@toucantrestle/verdict";
import FindMyWay from "find-my-way";
import { createServer, type IncomingMessage, type Server } from "node:http";
import type { ServerResponse } from "node:http";
import { Server as NetServer } from "node:net";
import { createServer as createTlsServer } from "node:https";
import type { z } from "zod";
import { Connections } from "./connections.ts";
import { sendJson, sendProblem } from "./response.ts";
import { parseJson, readBody } from "./body.ts";
import type { Principal, Role } from "./principal.ts";

/** Request context passed to a route handler. */
export interface HttpContext {
  req: IncomingMessage;
  res: ServerResponse;
  principal: Principal;
  params: Record<string, string | undefined>;
  query: URLSearchParams;
  /** Reads the request body as text. */
  text(): Promise<string>;
  /** Reads the request body as JSON and validates it against a schema. */
  json<T>(schema: z.ZodType<T>): Promise<T>;
}

/** HTTP route. A value returned by the handler is sent as JSON. */
export interface HttpRoute {
  method: "GET" | "POST" | "DELETE";
  path: string;
  /** Required role; `none` for unauthenticated access. */
  role: Role | "none";
  handler(ctx: HttpContext): unknown;
}

/** TLS certificate and private key in PEM format. */
export interface HttpTls {
  cert: string;
  key: string;
}

/** Options of `createHttpServer`. */
export interface HttpServerOptions {
  routes: HttpRoute[];
  maxBodyBytes: number;
  tls: HttpTls | undefined;
  timer: Timer;
  /** Where bodies are counted while they arrive. */
  holders?: MemoryHolders;
  authenticate(key: string): Principal | undefined;
  /** Returns false until the server can authenticate keys. */
  isReady(): boolean;
  onError(err: unknown): void;
}

/** HTTP server for callers and operators. */
export interface HttpServer {
  /**
   * Listens on an `IP:PORT` address as soon as it is free.
   *
   * @throws {ExitError} if it stays in use
   * @throws {StoppedWaitingError} if the process stops meanwhile
   */
  listen(address: string, opts: ListenOptions): Promise<void>;
  /** Replaces the certificate for new connections. */
  setTls(tls: HttpTls): void;
  /**
   * Stops accepting connections and waits until all responses are sent. Each
   * connection ends after the last response that is due on it.
   */
  drain(): Promise<void>;
}

const ANONYMOUS: Principal = { name: "", role: "caller" };
const KEEP_ALIVE_TIMEOUT_MS = 60_000;
const NOT_READY_RETRY_AFTER_MS = 500;

/** Creates an HTTP server, or an HTTPS server if TLS is configured. */
export function createHttpServer(options: HttpServerOptions): HttpServer {
  const opts = {
    holders: new MemoryHolders(),
    turns: new ReadTurns(),
    ...options,
  };
  const router = FindMyWay({
    defaultRoute: (req, res) => {
      const message = `no route for ${req.method} ${req.url?.split("?")[0]}`;
      sendProblem(
        res as ServerResponse,
        toProblem(new NotFoundError(message)),
      );
    },
  });
  for (const route of opts.routes) {
    router.on(route.method, route.path, (req, res, params) => {
      serveRoute(route, opts, {
        req: req as IncomingMessage,
        res: res as ServerResponse,
        params,
      });
    });
  }
  const listener = (req: IncomingMessage, res: ServerResponse) => {
    if (connections.take(req, res)) router.lookup(req, res);
  };
  const server = opts.tls
    ? createTlsServer(opts.tls, listener)
    : createServer(listener);
  server.keepAliveTimeout = KEEP_ALIVE_TIMEOUT_MS;
  const connections = new Connections(server, {
    event: opts.tls ? "secureConnection" : "connection",
    timer: opts.timer,
  });
  return {
    listen: (address, opts) => listenWhenFree(server, address, opts),
    setTls: (tls) => {
      if ("setSecureContext" in server) server.setSecureContext(tls);
    },
    drain: () => drain(server, connections),
  };
}

type ServeOptions = HttpServerOptions & {
  holders: MemoryHolders;
  turns: ReadTurns;
};

interface RoutedRequest {
  req: IncomingMessage;
  res: ServerResponse;
  params: Record<string, string | undefined>;
}

async function serveRoute(
  route: HttpRoute,
  opts: ServeOptions,
  routed: RoutedRequest,
): Promise<void> {
  try {
    const principal = authorize(route, opts, routed.req);
    const result = await route.handler(createContext(routed, principal, opts));
    if (result !== undefined) sendJson(routed.res, 200, result);
  } catch (err) {
    const problem = toProblem(err);
    if (problem.status === 500) opts.onError(err);
    sendProblem(routed.res, problem);
  }
}

function createContext(
  routed: RoutedRequest,
  principal: Principal,
  opts: ServeOptions,
): HttpContext {
  const url = new URL(routed.req.url ?? "/", "http://host");
  const text = () =>
    readBody(routed.req, {
      maxBytes: opts.maxBodyBytes,
      holders: opts.holders,
      turns: opts.turns,
    });
  return {
    ...routed,
    principal,
    query: url.searchParams,
    text,
    async json(schema) {
      const result = schema.safeParse(parseJson(await text()));
      if (result.success) return result.data;
      const issue = result.error.issues[0];
      const field = issue?.path.join(".") || "the body";
      throw new BadRequestError(
        `${field}: ${issue?.message ?? "invalid value"}`,
      );
    },
  };
}

function authorize(
  route: HttpRoute,
  opts: HttpServerOptions,
  req: IncomingMessage,
): Principal {
  if (route.role === "none") return ANONYMOUS;
  const header = req.headers.authorization ?? "";
  const key = header.startsWith("Bearer ") ? header.slice(7) : "";
  const principal = key === "" ? undefined : opts.authenticate(key);
  if (!principal && !opts.isReady()) throw notReadyError();
  if (!principal) throw new UnauthorizedError("the request has no known key");
  if (principal.role !== route.role) {
    throw new ForbiddenError(
      `the key of ${principal.name} has role ${principal.role}, not ${route.role}`,
    );
  }
  return principal;
}

/**
 * Creates the error for requests that arrive before keys are loaded. Its
 * verdict is `may_have_run` because another host may have executed an earlier
 * attempt of the request.
 */
function notReadyError() {
  const verdict: Verdict = "may_have_run";
  return new UnavailableError("the host has not loaded its caller keys yet", {
    props: { verdict, retryAfterMs: NOT_READY_RETRY_AFTER_MS },
  });
}

async function drain(
  server: Server,
  connections: Connections,
): Promise<void> {
  // The method of HTTP servers also closes connections whose last response has
  // been ended but not sent.
  NetServer.prototype.close.call(server);
  await connections.drain();
}
