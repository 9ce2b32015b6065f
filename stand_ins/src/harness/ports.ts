import { randomInt } from "node:crypto";
import { createServer, type Server } from "node:net";

/**
 * The range lies below the ephemeral ports of the kernel: an outgoing
 * connection could otherwise claim a port between the check and its use.
 */
const LOWEST_PORT = 12_000;
const HIGHEST_PORT = 31_000;

/** Finds distinct free TCP ports on loopback. */
export async function findFreePorts(count: number): Promise<number[]> {
  const ports: number[] = [];
  const servers: Server[] = [];
  while (ports.length < count) {
    const port = randomInt(LOWEST_PORT, HIGHEST_PORT);
    const server = await tryListen(port);
    if (!server) continue;
    ports.push(port);
    servers.push(server);
  }
  await Promise.all(
    servers.map((server) => new Promise((resolve) => server.close(resolve))),
  );
  return ports;
}

function tryListen(port: number): Promise<Server | undefined> {
  return new Promise((resolve) => {
    const server = createServer();
    server.once("error", () => resolve(undefined));
    server.listen(port, "127.0.0.1", () => resolve(server));
  });
}
