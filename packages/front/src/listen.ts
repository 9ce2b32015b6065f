import type { Server } from "node:http";

/** Largest head of a request that is read at all, in bytes. */
export const MAX_HEADER_BYTES = 65_536;

/** Starts to listen on an `IP:PORT` address. */
export function listen(server: Server, address: string): Promise<void> {
  const url = new URL(`tcp://${address}`);
  return new Promise((resolve, reject) => {
    server.once("error", reject);
    server.listen(Number(url.port), url.hostname, resolve);
  });
}
