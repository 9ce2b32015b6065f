import { callerRoutes } from "@toucantrestle/caller";
import {
  createHttpServer,
  type HttpRoute,
  type HttpServer,
  type HttpTls,
} from "@toucantrestle/http";
import type { Logger } from "@toucantrestle/log";
import {
  type OperatorHandlers,
  operatorRoutes,
  pageRoutes,
} from "@toucantrestle/operator";
import type { Entry } from "./entry.ts";
import type { Keyring } from "./keyring.ts";
import type { OwnedShard } from "./owned_shard.ts";
import type { StoreView } from "./store_view.ts";

/** Parts that the HTTP server of a daemon needs. */
export interface HttpParts {
  entry: Entry;
  operator: OperatorHandlers;
  keyring: Keyring;
  view: StoreView;
  shards: ReadonlyMap<number, OwnedShard>;
  log: Logger;
  isReady: () => boolean;
  allowFaults: boolean;
  maxBodyBytes: number;
  tls: HttpTls | undefined;
}

/** Creates the server for callers, operators and the page. */
export function createDaemonHttp(parts: HttpParts): HttpServer {
  return createHttpServer({
    routes: createRoutes(parts),
    maxBodyBytes: parts.maxBodyBytes,
    tls: parts.tls,
    authenticate: (key) => parts.keyring.authenticate(key),
    isReady: () => parts.view.isUsable,
    onError: (err) => parts.log.error(describeError(err)),
  });
}

function createRoutes(parts: HttpParts): HttpRoute[] {
  const { entry, operator, shards, allowFaults } = parts;
  const health: HttpRoute = {
    method: "GET",
    path: "/health",
    role: "none",
    handler: () => ({ ok: true, ready: parts.isReady() }),
  };
  const callers = callerRoutes({
    handle: (caller, request, sink) => entry.handle(caller, request, sink),
    lookUpHost: (program) => entry.where(program),
    listOwnedShards: () => [...shards.keys()],
  });
  return [
    health,
    ...pageRoutes(),
    ...callers,
    ...operatorRoutes(operator, { allowFaults }),
  ];
}

function describeError(err: unknown): string {
  return err instanceof Error ? err.stack ?? err.message : String(err);
}
