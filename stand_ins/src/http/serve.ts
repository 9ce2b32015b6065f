import type { Server } from "node:http";
import process from "node:process";
import * as z from "zod";

/** Settings that every stand-in takes. */
export const listenSchema = z.object({
  port: z.number().int().min(0).max(65_535).default(0),
});

/** Listens on loopback, prints the port on stdout and stops on SIGTERM. */
export function serve(server: Server, port: number): void {
  server.listen(port, "127.0.0.1", () => {
    const address = server.address();
    const bound = typeof address === "object" ? address?.port : port;
    process.stdout.write(`listening ${bound}\n`);
  });
  process.on("SIGTERM", () => process.exit(0));
}
