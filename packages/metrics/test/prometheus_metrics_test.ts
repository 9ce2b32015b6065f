import { expect } from "earl";
import type { AddressInfo } from "node:net";
import { describe, it } from "node:test";
import { createPrometheusMetrics, serveMetrics } from "../src/mod.ts";

const SCRAPE_TIMEOUT_MS = 2_000;

describe("Prometheus metrics", () => {
  it("serves metrics with labels and histogram buckets", async () => {
    const metrics = createPrometheusMetrics();
    metrics.count("answers", 2, { status: "200" });
    metrics.timing("call_ms", 30, { route: "r" });
    const server = await serveMetrics({
      metrics,
      address: "127.0.0.1:0",
      path: "/metrics",
      refresh: () => metrics.gauge("calls_open", 3),
    });
    const { port } = server.address() as AddressInfo;
    const text = await (await fetch(`http://127.0.0.1:${port}/metrics`)).text();
    const unknownPath = await fetch(`http://127.0.0.1:${port}/other`);
    server.closeAllConnections();
    server.close();
    expect(text.includes('toucantrestle_answers{status="200"} 2'))
      .toEqual(true);
    expect(text.includes('toucantrestle_call_ms_bucket{le="50",route="r"} 1'))
      .toEqual(true);
    expect(text.includes("toucantrestle_calls_open 3")).toEqual(true);
    expect(unknownPath.status).toEqual(404);
  });

  // Guards against a scrape that ends the process, or is never answered (FAULT).
  it("answers a scrape for which the gauges cannot be read", async () => {
    let isFailing = true;
    const server = await serveMetrics({
      metrics: createPrometheusMetrics(),
      address: "127.0.0.1:0",
      path: "/metrics",
      refresh() {
        if (isFailing) throw new Error("odd");
      },
    });
    const { port } = server.address() as AddressInfo;
    const scrape = () =>
      fetch(`http://127.0.0.1:${port}/metrics`, {
        signal: AbortSignal.timeout(SCRAPE_TIMEOUT_MS),
      }).then((it) => it.status, String);
    const failed = await scrape();
    isFailing = false;
    const next = await scrape();
    server.closeAllConnections();
    server.close();
    expect([failed, next]).toEqual([500, 200]);
  });
});
