/**
 * Metrics over StatsD. Nothing is sent while no address is set.
 *
 * @module
 */
import { StatsD } from "hot-shots";

/** Counters, gauges and timings of one process. */
export interface Metrics {
  /** Adds to a counter. */
  count(name: string, value?: number): void;
  /** Sets a gauge. */
  gauge(name: string, value: number): void;
  /** Records a duration in milliseconds. */
  timing(name: string, ms: number): void;
  /** Flushes and closes the socket. */
  close(): void;
}

/** Creates metrics that go to `address` (`host:port`), or nowhere. */
export function createMetrics(
  opts: { address: string | undefined; host: string; dataCentre: string },
): Metrics {
  if (opts.address === undefined) return createSilentMetrics();
  const url = new URL(`udp://${opts.address}`);
  const client = new StatsD({
    host: url.hostname,
    port: Number(url.port),
    prefix: "toucantrestle.",
    globalTags: { host: opts.host, data_centre: opts.dataCentre },
    errorHandler: () => {},
  });
  return {
    count: (name, value = 1) => client.increment(name, value),
    gauge: (name, value) => client.gauge(name, value),
    timing: (name, ms) => client.timing(name, ms),
    close: () => client.close(() => {}),
  };
}

function createSilentMetrics(): Metrics {
  return { count() {}, gauge() {}, timing() {}, close() {} };
}
