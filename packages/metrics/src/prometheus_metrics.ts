import { Counter, Gauge, Histogram, Registry } from "prom-client";
import type { Logger } from "@toucantrestle/log";
import { LabelSets } from "./label_sets.ts";
import type { Labels, Metrics } from "./metrics.ts";

/** Metrics that are kept in memory until they are scraped. */
export interface PrometheusMetrics extends Metrics {
  /** Returns all metrics in the Prometheus text exposition format. */
  text(): Promise<string>;
}

/** Upper bounds of the latency buckets, in ms. */
const LATENCY_BUCKETS_MS = [
  1,
  2,
  5,
  10,
  20,
  50,
  100,
  200,
  500,
  1_000,
  2_000,
  5_000,
];
/** Most sets of labels of one metric. */
const MAX_LABEL_SETS = 1_000;
const METRIC_PREFIX = "toucantrestle_";

/** Creates metrics that Prometheus reads by scraping. */
export function createPrometheusMetrics(
  { log }: { log?: Logger } = {},
): PrometheusMetrics {
  const labelSets = new LabelSets({
    maxSets: MAX_LABEL_SETS,
    onFull: (name) =>
      log?.warn(
        `metric ${name} has over ${MAX_LABEL_SETS} sets of labels, the rest is counted as one`,
        { event: "label_sets_full", metric: name },
      ),
  });
  const registry = new Registry();
  const registers = [registry];
  const counters = new Map<string, Counter>();
  const gauges = new Map<string, Gauge>();
  const histograms = new Map<string, Histogram>();

  function metricOptions(name: string, labels: Labels) {
    return {
      name: METRIC_PREFIX + name,
      help: name.replaceAll("_", " "),
      labelNames: Object.keys(labels),
      registers,
    };
  }

  return {
    count(name, value = 1, labels = {}) {
      const counter = getOrCreate(
        counters,
        name,
        () => new Counter(metricOptions(name, labels)),
      );
      counter.inc(labelSets.admit(name, labels), value);
    },
    gauge(name, value, labels = {}) {
      const gauge = getOrCreate(
        gauges,
        name,
        () => new Gauge(metricOptions(name, labels)),
      );
      gauge.set(labelSets.admit(name, labels), value);
    },
    timing(name, ms, labels = {}) {
      const histogram = getOrCreate(
        histograms,
        name,
        () =>
          new Histogram({
            ...metricOptions(name, labels),
            buckets: LATENCY_BUCKETS_MS,
          }),
      );
      histogram.observe(labelSets.admit(name, labels), ms);
    },
    text: () => registry.metrics(),
    close() {},
  };
}

function getOrCreate<T>(
  cache: Map<string, T>,
  name: string,
  create: () => T,
): T {
  const cached = cache.get(name);
  if (cached) return cached;
  const created = create();
  cache.set(name, created);
  return created;
}
