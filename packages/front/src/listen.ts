import { limitRequests } from "@toucantrestle/connection";
import { type ListenOptions, listenWhenFree } from "@toucantrestle/lifecycle";
import type { Timer } from "@toucantrestle/timer";
import { createServer, type RequestListener, type Server } from "node:http";

/** Limit of the HTTP parser for the header of a request, in bytes. */
export const MAX_HEADER_BYTES = 65_536;

/** Only the platform and callers that look for a front connect there. */
const AUXILIARY_CHECK_INTERVAL_MS = 5_000;

/** Creates an HTTP server that looks for overdue connections at an interval. */
export function createFrontServer(
  handler: RequestListener,
  checkIntervalMs: number,
): Server {
  return createServer({
    maxHeaderSize: MAX_HEADER_BYTES,
    connectionsCheckingInterval: checkIntervalMs,
    requestTimeout: 0,
    noDelay: true,
  }, handler);
}

/** Creates an HTTP server for requests without bodies that do not run. */
export function createAuxiliaryServer(
  handler: RequestListener,
  timer: Timer,
): Server {
  const listener = limitRequests(handler, timer);
  return createFrontServer(listener, AUXILIARY_CHECK_INTERVAL_MS);
}

/**
 * Listens with each server on its `IP:PORT` address as soon as that is free.
 * Resolves once all of them listen.
 *
 * @throws {ExitError} if an address stays in use
 * @throws {StoppedWaitingError} if the process stops meanwhile
 */
export async function listenOnAll(
  servers: readonly [Server, string][],
  opts: ListenOptions,
): Promise<void> {
  await Promise.all(
    servers.map(([server, address]) => listenWhenFree(server, address, opts)),
  );
}
