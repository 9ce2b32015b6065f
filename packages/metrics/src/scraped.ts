import { Counter, Gauge, Histogram, Registry } from "prom-client";
import type { Labels, Metrics } from "./mod.ts";

/** Metrics that are kept in this process until they are asked for. */
export interface ScrapedMetrics extends Metrics {
  /** All figures in the text exposition format. */
  text(): Promise<string>;
}

/** Upper bounds of latency buckets, in ms. */
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
const PREFIX = "toucantrestle_";

/** Creates metrics that are read by scraping. */
export function createScrapedMetrics(): ScrapedMetrics {
  const registry = new Registry();
  const registers = [registry];
  const counters = new Map<string, Counter>();
  const gauges = new Map<string, Gauge>();
  const histograms = new Map<string, Histogram>();

  function settings(name: string, labels: Labels) {
    return {
      name: PREFIX + name,
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
        () => new Counter(settings(name, labels)),
      );
      counter.inc(labels, value);
    },
    gauge(name, value, labels = {}) {
      const gauge = getOrCreate(
        gauges,
        name,
        () => new Gauge(settings(name, labels)),
      );
      gauge.set(labels, value);
    },
    timing(name, ms, labels = {}) {
      const histogram = getOrCreate(
        histograms,
        name,
        () =>
          new Histogram({
            ...settings(name, labels),
            buckets: LATENCY_BUCKETS_MS,
          }),
      );
      histogram.observe(labels, ms);
    },
    text: () => registry.metrics(),
    close() {},
  };
}

function getOrCreate<T>(
  known: Map<string, T>,
  name: string,
  create: () => T,
): T {
  const found = known.get(name);
  if (found) return found;
  const created = create();
  known.set(name, created);
  return created;
}
