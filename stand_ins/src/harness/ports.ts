import { createServer } from "node:net";

/** Finds free ports on loopback, all different. */
export async function freePorts(count: number): Promise<number[]> {
  const servers = await Promise.all(
    Array.from({ length: count }, () => listenAnywhere()),
  );
  const ports = servers.map((server) => {
    const address = server.address();
    return typeof address === "object" && address ? address.port : 0;
  });
  await Promise.all(
    servers.map((server) => new Promise((resolve) => server.close(resolve))),
  );
  return ports;
}

function listenAnywhere(): Promise<ReturnType<typeof createServer>> {
  return new Promise((resolve, reject) => {
    const server = createServer();
    server.once("error", reject);
    server.listen(0, "127.0.0.1", () => resolve(server));
  });
}
