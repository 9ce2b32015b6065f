/**
 * Metrics that are sent over StatsD or scraped in the Prometheus text format.
 *
 * @module
 */
export { serveMetrics, type ServeMetricsOptions } from "./scrape_server.ts";
export {
  createPrometheusMetrics,
  type PrometheusMetrics,
} from "./prometheus_metrics.ts";
export { createNoopMetrics, type Labels, type Metrics } from "./metrics.ts";
export { createMetrics } from "./statsd_metrics.ts";
