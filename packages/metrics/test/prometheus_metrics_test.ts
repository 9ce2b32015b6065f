import { createNoopLoggers } from "@toucantrestle/log";
import { createSystemTimer } from "@toucantrestle/timer";
import { expect } from "earl";
import { type AddressInfo, createServer, type Server } from "node:net";
import { describe, it } from "node:test";
import { setTimeout as delay } from "node:timers/promises";
import { createPrometheusMetrics, serveMetrics } from "../src/mod.ts";

const HELD_MS = 300;
const SCRAPE_TIMEOUT_MS = 2_000;
const SERVE_OPTIONS = {
  timer: createSystemTimer(),
  log: createNoopLoggers()("metrics"),
};

function addressOf(server: Server): string {
  return `127.0.0.1:${(server.address() as AddressInfo).port}`;
}

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
      ...SERVE_OPTIONS,
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

  // Guards against values of labels that callers choose and nothing forgets.
  it("have a bounded number of label sets, and say so once", async () => {
    const warnings: string[] = [];
    const log = {
      ...createNoopLoggers()("metrics"),
      warn: (message: string) => warnings.push(message),
    };
    const metrics = createPrometheusMetrics({ log });
    for (let i = 0; i < 5_000; i++) {
      metrics.count("answers", 1, { caller: `c${i}`, status: "200" });
      metrics.timing("call_ms", 1, { caller: `c${i}` });
    }
    metrics.count("answers", 1, { caller: "c0", status: "200" });
    const lines = (await metrics.text()).split("\n");
    const sets = lines.filter((it) => it.startsWith("toucantrestle_answers{"));
    expect(sets.length).toEqual(1_001);
    expect(sets).toInclude(
      'toucantrestle_answers{caller="other",status="other"} 4000',
    );
    expect(sets).toInclude(
      'toucantrestle_answers{caller="c0",status="200"} 2',
    );
    expect(warnings.length).toEqual(2);
  });

  // Guards against metrics that stay missing because their port was in use.
  it("are served as soon as their port is free", async () => {
    const holder = createServer();
    await new Promise<void>((resolve) =>
      holder.listen(0, "127.0.0.1", resolve)
    );
    const address = addressOf(holder);
    const serving = serveMetrics({
      metrics: createPrometheusMetrics(),
      address,
      path: "/metrics",
      refresh() {},
      ...SERVE_OPTIONS,
    });
    await Promise.race([serving, delay(HELD_MS)]);
    holder.close();
    const server = await serving;
    const res = await fetch(`http://${address}/metrics`);
    server.closeAllConnections();
    server.close();
    expect(res.status).toEqual(200);
  });

  // Guards against a process that ends because a gauge can't be read.
  it("answers a scrape that fails, and goes on", async () => {
    let failures = 1;
    const server = await serveMetrics({
      metrics: createPrometheusMetrics(),
      address: "127.0.0.1:0",
      path: "/metrics",
      refresh() {
        if (failures-- > 0) throw new Error("gauge is not available");
      },
      ...SERVE_OPTIONS,
    });
    const url = `http://${addressOf(server)}/metrics`;
    const scrape = async () =>
      (await fetch(url, { signal: AbortSignal.timeout(SCRAPE_TIMEOUT_MS) }))
        .status;
    const statuses = [await scrape().catch(() => 0), await scrape()];
    server.closeAllConnections();
    server.close();
    expect(statuses).toEqual([500, 200]);
  });
});
