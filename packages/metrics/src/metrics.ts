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

/** Creates metrics that are discarded. */
export function createNoopMetrics(): Metrics {
  return { count() {}, gauge() {}, timing() {}, close() {} };
}
