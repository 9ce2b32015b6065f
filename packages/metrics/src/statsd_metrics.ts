import { StatsD } from "hot-shots";
import { createNoopMetrics, type Metrics } from "./metrics.ts";

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
