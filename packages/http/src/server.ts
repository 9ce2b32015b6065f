import {
  BadRequestError,
  ForbiddenError,
  NotFoundError,
  problemOf,
  UnauthorizedError,
  UnavailableError,
  type Verdict,
} from "@toucantrestle/verdict";
import FindMyWay from "find-my-way";
import { createServer, type IncomingMessage, type Server } from "node:http";
import type { ServerResponse } from "node:http";
import { createServer as createTlsServer } from "node:https";
import type { z } from "zod";
import { sendJson, sendProblem } from "./answer.ts";
import { parseJson, readBody } from "./body.ts";
import type { Principal, Role } from "./principal.ts";

/** One request as a route's handler sees it. */
export interface HttpContext {
  req: IncomingMessage;
  res: ServerResponse;
  principal: Principal;
  params: Record<string, string | undefined>;
  query: URLSearchParams;
  /** Reads the body as text. */
  text(): Promise<string>;
  /** Reads the body as JSON of a given shape. */
  json<T>(schema: z.ZodType<T>): Promise<T>;
}

/** A route. A value that the handler returns is sent as JSON. */
export interface HttpRoute {
  method: "GET" | "POST" | "DELETE";
  path: string;
  /** Role that may use it; `none` for anybody. */
  role: Role | "none";
  handler(ctx: HttpContext): unknown;
}

/** Certificate and key in PEM form. */
export interface HttpTls {
  cert: string;
  key: string;
}

/** Settings of a server. */
export interface HttpServerOptions {
  routes: HttpRoute[];
  maxBodyBytes: number;
  tls: HttpTls | undefined;
  authenticate(key: string): Principal | undefined;
  /** False until keys can be checked. */
  isReady(): boolean;
  onError(err: unknown): void;
}

/** A server for callers and operators. */
export interface HttpServer {
  listen(address: string): Promise<void>;
  /** Takes new certificate files into use. */
  setTls(tls: HttpTls): void;
  /** Stops accepting and waits until every answer is complete. */
  drain(): Promise<void>;
}

const NOBODY: Principal = { name: "", role: "caller" };
const KEEP_ALIVE_MS = 60_000;
const NOT_READY_RETRY_MS = 500;

/** Creates a server. */
export function createHttpServer(opts: HttpServerOptions): HttpServer {
  const router = FindMyWay({
    defaultRoute: (req, res) => {
      const message = `${req.method} ${req.url?.split("?")[0]} is not known`;
      sendProblem(
        res as ServerResponse,
        problemOf(new NotFoundError(message)),
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
  const listener = (req: IncomingMessage, res: ServerResponse) =>
    router.lookup(req, res);
  const server = opts.tls
    ? createTlsServer(opts.tls, listener)
    : createServer(listener);
  server.keepAliveTimeout = KEEP_ALIVE_MS;
  return {
    listen: (address) => listen(server, address),
    setTls: (tls) => {
      if ("setSecureContext" in server) server.setSecureContext(tls);
    },
    drain: () => drain(server),
  };
}

interface RawContext {
  req: IncomingMessage;
  res: ServerResponse;
  params: Record<string, string | undefined>;
}

async function serveRoute(
  route: HttpRoute,
  opts: HttpServerOptions,
  raw: RawContext,
): Promise<void> {
  try {
    const principal = checkKey(route, opts, raw.req);
    const result = await route.handler(createContext(raw, principal, opts));
    if (result !== undefined) sendJson(raw.res, 200, result);
  } catch (err) {
    const problem = problemOf(err);
    if (problem.status === 500) opts.onError(err);
    sendProblem(raw.res, problem);
  }
}

function createContext(
  raw: RawContext,
  principal: Principal,
  opts: HttpServerOptions,
): HttpContext {
  const url = new URL(raw.req.url ?? "/", "http://host");
  const text = () => readBody(raw.req, opts.maxBodyBytes);
  return {
    ...raw,
    principal,
    query: url.searchParams,
    text,
    async json(schema) {
      const result = schema.safeParse(parseJson(await text()));
      if (result.success) return result.data;
      const issue = result.error.issues[0];
      const where = issue?.path.join(".") || "the body";
      throw new BadRequestError(`${where}: ${issue?.message ?? "not valid"}`);
    },
  };
}

function checkKey(
  route: HttpRoute,
  opts: HttpServerOptions,
  req: IncomingMessage,
): Principal {
  if (route.role === "none") return NOBODY;
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

/** An earlier try of the request may have run elsewhere. */
function notReadyError() {
  const verdict: Verdict = "may_have_run";
  return new UnavailableError("the host does not know its callers yet", {
    props: { verdict, retryAfterMs: NOT_READY_RETRY_MS },
  });
}

function listen(server: Server, address: string): Promise<void> {
  const url = new URL(`tcp://${address}`);
  return new Promise((resolve, reject) => {
    server.once("error", reject);
    server.listen(Number(url.port), url.hostname, resolve);
  });
}

function drain(server: Server): Promise<void> {
  return new Promise((resolve) => {
    server.close(() => resolve());
    server.closeIdleConnections();
  });
}
