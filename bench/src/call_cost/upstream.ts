import { createServer, type Server, type ServerResponse } from "node:http";
import type { AddressInfo } from "node:net";
import { setTimeout as delay } from "node:timers/promises";
import { REQUEST_ID, UPSTREAM_MARK } from "./bench_protocol.ts";

const EVENTS_PER_STREAM = 8;
const EVENT_INTERVAL_MS = 2;
const PLAIN_BODY = JSON.stringify({ text: "x".repeat(400) });

/** Starts an upstream that answers `/streaming` with events, others plainly. */
export async function startUpstream(): Promise<
  { address: string; server: Server }
> {
  const server = createServer((req, res) => {
    res.setHeader(REQUEST_ID, req.headers[REQUEST_ID] ?? "");
    res.setHeader(UPSTREAM_MARK, "1");
    req.resume();
    req.on("end", () => {
      if (req.url === "/streaming") void sendEvents(res);
      else res.end(PLAIN_BODY);
    });
  });
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  const { port } = server.address() as AddressInfo;
  return { address: `127.0.0.1:${port}`, server };
}

async function sendEvents(res: ServerResponse): Promise<void> {
  res.writeHead(200, { "content-type": "text/event-stream" });
  for (let i = 1; i <= EVENTS_PER_STREAM; i++) {
    res.write(`id: ${i}\ndata: ${"t".repeat(40)}\n\n`);
    await delay(EVENT_INTERVAL_MS);
  }
  res.end();
}
