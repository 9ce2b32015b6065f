import { callerRoutes } from "@toucantrestle/caller";
import {
  createHttpServer,
  type HttpRoute,
  type HttpServer,
  type HttpTls,
} from "@toucantrestle/http";
import type { Logger } from "@toucantrestle/log";
import type { MemoryHolders } from "@toucantrestle/memory";
import {
  type OperatorHandlers,
  operatorRoutes,
  pageRoutes,
} from "@toucantrestle/operator";
import type { Timer } from "@toucantrestle/timer";
import type { RequestRouter } from "./request_router.ts";
import type { Keyring } from "./keyring.ts";
import type { OwnedShard } from "./owned_shard.ts";
import type { StoreView } from "./store_view.ts";

/** Components and options of a daemon's HTTP server. */
export interface DaemonHttpOptions {
  requestRouter: RequestRouter;
  operator: OperatorHandlers;
  keyring: Keyring;
  view: StoreView;
  shards: ReadonlyMap<number, OwnedShard>;
  timer: Timer;
  holders: MemoryHolders;
  log: Logger;
  isReady: () => boolean;
  allowFaults: boolean;
  maxBodyBytes: number;
  tls: HttpTls | undefined;
}

/** Creates the HTTP server for callers, operators and the status page. */
export function createDaemonHttp(opts: DaemonHttpOptions): HttpServer {
  return createHttpServer({
    routes: createRoutes(opts),
    maxBodyBytes: opts.maxBodyBytes,
    tls: opts.tls,
    timer: opts.timer,
    holders: opts.holders,
    authenticate: (key) => opts.keyring.authenticate(key),
    isReady: () => opts.view.isUsable,
    onError: (err) => opts.log.error(describeError(err)),
  });
}

function createRoutes(opts: DaemonHttpOptions): HttpRoute[] {
  const { requestRouter, operator, shards, allowFaults } = opts;
  const health: HttpRoute = {
    method: "GET",
    path: "/health",
    role: "none",
    handler: () => ({ ok: true, ready: opts.isReady() }),
  };
  const callers = callerRoutes({
    handle: (caller, request, sink) =>
      requestRouter.handle(caller, request, sink),
    lookUpHost: (program) => requestRouter.locate(program),
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
