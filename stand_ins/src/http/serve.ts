import type { Server } from "node:http";
import process from "node:process";
import * as z from "zod";

/** Settings common to all stand-ins. */
export const listenSchema = z.object({
  port: z.number().int().min(0).max(65_535).default(0),
});

/**
 * Listens on loopback, prints the bound port on stdout and exits on SIGTERM.
 */
export function serve(server: Server, port: number): void {
  server.listen(port, "127.0.0.1", () => {
    const address = server.address();
    const boundPort = typeof address === "object" ? address?.port : port;
    process.stdout.write(`listening ${boundPort}\n`);
  });
  process.on("SIGTERM", () => process.exit(0));
}
