import { createServer, type Server } from "node:http";
import type { PrometheusMetrics } from "./prometheus_metrics.ts";

/**
 * Starts an HTTP server on `address` (`IP:PORT`) that serves the metrics at
 * `path` in the Prometheus text format.
 */
export async function serveMetrics(
  opts: {
    metrics: PrometheusMetrics;
    address: string;
    path: string;
    /** Called before each scrape to update the gauges. */
    refresh: () => void;
  },
): Promise<Server> {
  const server = createServer(async (req, res) => {
    if (req.url !== opts.path) {
      res.writeHead(404).end();
      return;
    }
    try {
      opts.refresh();
      const body = await opts.metrics.text();
      res.writeHead(200, { "content-type": "text/plain; version=0.0.4" });
      res.end(body);
    } catch (err) {
      res.writeHead(500).end(`metrics cannot be read: ${String(err)}\n`);
    }
  });
  const url = new URL(`tcp://${opts.address}`);
  await new Promise<void>((resolve, reject) => {
    server.once("error", reject);
    server.listen(Number(url.port), url.hostname, resolve);
  });
  return server;
}
