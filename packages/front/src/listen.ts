import type { Server } from "node:http";

/** Limit of the HTTP parser for the header of a request, in bytes. */
export const MAX_HEADER_BYTES = 65_536;

/** Binds a server to an `IP:PORT` address and starts listening. */
export function listen(server: Server, address: string): Promise<void> {
  const url = new URL(`tcp://${address}`);
  return new Promise((resolve, reject) => {
    server.once("error", reject);
    server.listen(Number(url.port), url.hostname, resolve);
  });
}
