import { limitRequests } from "@toucantrestle/connection";
import { listenWhenFree } from "@toucantrestle/lifecycle";
import type { Logger } from "@toucantrestle/log";
import type { Timer } from "@toucantrestle/timer";
import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from "node:http";
import type { PrometheusMetrics } from "./prometheus_metrics.ts";

/** Options of `serveMetrics`. */
export interface ServeMetricsOptions {
  metrics: PrometheusMetrics;
  /** `IP:PORT` to listen on. */
  address: string;
  path: string;
  /** Called before each scrape to update the gauges. */
  refresh: () => void;
  timer: Timer;
  log: Logger;
}

const LISTEN_RETRY_MS = 1_000;
const LISTEN_LOG_INTERVAL_MS = 60_000;

/**
 * Serves the metrics at `path` in the Prometheus text format. An address in use
 * is tried again without a limit: nothing else depends on the metrics. Resolves
 * once the server listens.
 *
 * @throws {ExitError} if no wait can make the address available
 */
export async function serveMetrics(opts: ServeMetricsOptions): Promise<Server> {
  const server = createServer(
    limitRequests((req, res) => serveScrape(opts, req, res), opts.timer),
  );
  await listenWhenFree(server, opts.address, {
    timer: opts.timer,
    log: opts.log,
    timeoutMs: Infinity,
    retryMs: LISTEN_RETRY_MS,
    logIntervalMs: LISTEN_LOG_INTERVAL_MS,
  });
  return server;
}

async function serveScrape(
  { metrics, path, refresh, log }: ServeMetricsOptions,
  req: IncomingMessage,
  res: ServerResponse,
): Promise<void> {
  if (req.url !== path) {
    res.writeHead(404).end();
    return;
  }
  try {
    refresh();
    const body = await metrics.text();
    res.writeHead(200, { "content-type": "text/plain; version=0.0.4" });
    res.end(body);
  } catch (err) {
    log.error(`cannot serve the metrics: ${String(err)}`);
    res.writeHead(500).end();
  }
}
