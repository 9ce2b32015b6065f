/**
 * Metrics that are sent over StatsD or scraped in the Prometheus text format.
 *
 * @module
 */
import { StatsD } from "hot-shots";

export { serveMetrics } from "./scrape_server.ts";
export {
  createPrometheusMetrics,
  type PrometheusMetrics,
} from "./prometheus_metrics.ts";

/** Labels of a metric by name. */
export type Labels = Record<string, string>;

/** Records the counters, gauges and timings of one process. */
export interface Metrics {
  /** Adds to a counter. */
  count(name: string, value?: number, labels?: Labels): void;
  /** Sets a gauge. */
  gauge(name: string, value: number, labels?: Labels): void;
  /** Records a duration in milliseconds. */
  timing(name: string, ms: number, labels?: Labels): void;
  /** Flushes pending metrics and closes the socket. */
  close(): void;
}

/**
 * Creates metrics that are sent over StatsD to `address` (`host:port`), or
 * discarded if no address is given.
 */
export function createMetrics(
  opts: { address: string | undefined; host: string; dataCentre: string },
): Metrics {
  if (opts.address === undefined) return createNoopMetrics();
  const url = new URL(`udp://${opts.address}`);
  const client = new StatsD({
    host: url.hostname,
    port: Number(url.port),
    prefix: "toucantrestle.",
    globalTags: { host: opts.host, data_centre: opts.dataCentre },
    errorHandler: () => {},
  });
  return {
    count: (name, value = 1, labels) => client.increment(name, value, labels),
    gauge: (name, value, labels) => client.gauge(name, value, labels),
    timing: (name, ms, labels) => client.timing(name, ms, labels),
    close: () => client.close(() => {}),
  };
}

/** Creates metrics that are discarded. */
export function createNoopMetrics(): Metrics {
  return { count() {}, gauge() {}, timing() {}, close() {} };
}
