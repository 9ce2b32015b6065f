import { createServer, type Server } from "node:http";
import type { ScrapedMetrics } from "./scraped.ts";

/** Serves the figures as text at `path` of an `IP:PORT` address. */
export async function serveMetrics(
  opts: {
    metrics: ScrapedMetrics;
    address: string;
    path: string;
    /** Called before each answer, to set gauges. */
    refresh: () => void;
  },
): Promise<Server> {
  const server = createServer(async (req, res) => {
    if (req.url !== opts.path) {
      res.writeHead(404).end();
      return;
    }
    opts.refresh();
    const text = await opts.metrics.text();
    res.writeHead(200, { "content-type": "text/plain; version=0.0.4" });
    res.end(text);
  });
  const url = new URL(`tcp://${opts.address}`);
  await new Promise<void>((resolve, reject) => {
    server.once("error", reject);
    server.listen(Number(url.port), url.hostname, resolve);
  });
  return server;
}
