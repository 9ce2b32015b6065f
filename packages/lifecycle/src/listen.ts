import type { Server } from "node:net";
import { awaitDependency, type AwaitOptions } from "./await_dependency.ts";

/** Options of `listenWhenFree`. */
export interface ListenOptions extends AwaitOptions {
  /** Time after which an address in use is given up, in ms. */
  timeoutMs?: number;
  /** Time between two attempts, in ms. */
  retryMs?: number;
}

/**
 * Time in which a port becomes free that a process before has used, or that an
 * outgoing connection of another process has taken, in ms.
 */
const PORT_TIMEOUT_MS = 60_000;
const PORT_RETRY_MS = 100;

/** Errors after which the same address may be free later. */
const TEMPORARY_CODES: ReadonlySet<string> = new Set([
  "EADDRINUSE",
  // The network of the host may come up after the process.
  "EADDRNOTAVAIL",
  "EAGAIN",
  "EMFILE",
  "ENFILE",
  "ENOBUFS",
  "ENOMEM",
]);

/**
 * Listens on an `IP:PORT` address as soon as it is free. Later errors of the
 * server, such as those of accepting a connection, are logged.
 *
 * @throws {ExitError} with reason `port_unavailable` if it stays in use, or if
 * no wait can make it available
 * @throws {StoppedWaitingError} if the process stops meanwhile
 */
export async function listenWhenFree(
  server: Server,
  address: string,
  { timeoutMs = PORT_TIMEOUT_MS, retryMs = PORT_RETRY_MS, ...opts }:
    ListenOptions,
): Promise<void> {
  await awaitDependency({
    name: `address ${address}`,
    attempt: () => listen(server, address),
    isTemporary: (err) =>
      TEMPORARY_CODES.has((err as NodeJS.ErrnoException).code ?? ""),
    timeoutMs,
    retryMs,
    reason: "port_unavailable",
  }, opts);
  server.on(
    "error",
    (err) =>
      opts.log.warn(`server on ${address} has an error: ${err.message}`, {
        event: "server_error",
      }),
  );
}

function listen(server: Server, address: string): Promise<void> {
  const { hostname, port } = new URL(`tcp://${address}`);
  return new Promise((resolve, reject) => {
    const onError = (err: Error) => {
      server.off("listening", onListening);
      reject(err);
    };
    const onListening = () => {
      server.off("error", onError);
      resolve();
    };
    server.once("error", onError);
    server.once("listening", onListening);
    server.listen(Number(port), hostname);
  });
}
