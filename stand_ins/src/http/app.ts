import FindMyWay from "find-my-way";
import { createServer, type IncomingMessage, type Server } from "node:http";
import type { ServerResponse } from "node:http";
import { Buffer } from "node:buffer";

/** A request with its path parameters, query and parsed JSON body. */
export interface AppRequest {
  req: IncomingMessage;
  res: ServerResponse;
  params: Record<string, string | undefined>;
  query: URLSearchParams;
  body: unknown;
}

/**
 * Handles a request. A returned value is sent as JSON with status 200;
 * undefined means that the handler writes to `res` itself or leaves the request
 * pending.
 */
export type AppHandler = (input: AppRequest) => unknown;

/** Handlers of a stand-in, keyed by method and path, such as `GET /health`. */
export type AppRoutes = Record<string, AppHandler>;

/** Creates the HTTP server of a stand-in. */
export function createApp(routes: AppRoutes): Server {
  const router = FindMyWay();
  for (const [route, handler] of Object.entries(routes)) {
    const [method, path] = route.split(" ");
    router.on(method as "GET", path as string, (req, res, params) => {
      handle(handler, {
        req: req as IncomingMessage,
        res: res as ServerResponse,
        params,
      });
    });
  }
  const server = createServer((req, res) => router.lookup(req, res));
  server.keepAliveTimeout = 60_000;
  return server;
}

/** Sends a JSON response. */
export function sendJson(
  res: ServerResponse,
  status: number,
  body: unknown,
): void {
  const text = JSON.stringify(body);
  res.writeHead(status, { "content-type": "application/json" });
  res.end(text);
}

async function handle(
  handler: AppHandler,
  input: Pick<AppRequest, "req" | "res" | "params">,
): Promise<void> {
  try {
    const text = await readBody(input.req);
    const url = new URL(input.req.url ?? "/", "http://stand-in");
    const result = await handler({
      ...input,
      query: url.searchParams,
      body: text === "" ? undefined : JSON.parse(text),
    });
    if (result !== undefined) sendJson(input.res, 200, result);
  } catch (err) {
    if (!input.res.headersSent) {
      sendJson(input.res, 400, { error: String(err) });
    }
  }
}

async function readBody(req: IncomingMessage): Promise<string> {
  const chunks: Buffer[] = [];
  for await (const chunk of req) chunks.push(chunk as Buffer);
  return Buffer.concat(chunks).toString();
}
