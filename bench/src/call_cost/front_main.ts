/**
 * Front as a process of its own, without siblings and turn stores. Arguments:
 * the addresses for callers, readiness, directory and links, and that of the
 * upstream.
 *
 * @module
 */
import { MemoryStore } from "@toucantrestle/config_store";
import { Fleet } from "@toucantrestle/fleet";
import { Front } from "@toucantrestle/front";
import { createLoggers } from "@toucantrestle/log";
import { createPrometheusMetrics } from "@toucantrestle/metrics";
import type { Route, UpstreamEntry } from "@toucantrestle/routing";
import { createSystemTimer } from "@toucantrestle/timer";
import process from "node:process";
import { benchProtocol } from "./bench_protocol.ts";

const HOST = "front";
const DATA_CENTRE = "a";
const UPSTREAM_COUNT = 40;
const SLOTS = 64;

const [
  callerAddress = "",
  readyAddress = "",
  directoryAddress = "",
  linkAddress = "",
  upstreamAddress = "",
] = process.argv.slice(2);
const timer = createSystemTimer();
const loggers = createLoggers({ host: HOST, format: "json", level: "info" });
const store = createStore();
const fleet = new Fleet({
  self: {
    id: HOST,
    host: HOST,
    role: "front",
    linkAddress,
    callerAddress,
    dataCentre: DATA_CENTRE,
  },
  store,
  timer,
  log: loggers("fleet"),
});
const front = new Front({
  host: HOST,
  dataCentre: DATA_CENTRE,
  callerAddress,
  readyAddress,
  directoryAddress,
  linkAddress,
  seeds: [],
  graceMs: 1_000,
  chooser: "expected_finish",
  disabled: new Set(),
  protocol: benchProtocol,
  store,
  fleet,
  timer,
  loggers,
  metrics: createPrometheusMetrics(),
});
await front.start();
fleet.start();

/** All upstreams share an address; half serve streams, half plain calls. */
function createStore(): MemoryStore {
  const store = new MemoryStore();
  store.put(benchProtocol.configKey, {
    version: 1,
    routes: [createRoute("streaming"), createRoute("idempotent")],
    services: ["streaming", "idempotent"].map((name) => ({
      name,
      maxConnections: 100,
      engine: name === "streaming"
        ? { slots: SLOTS, cacheTokens: 100_000, tokensPerEvent: 1 }
        : undefined,
    })),
    limits: {
      headerBytes: 16_384,
      bodyBytes: 1_000_000,
      headerTimeoutMs: 5_000,
      idleTimeoutMs: 15_000,
    },
  });
  for (let i = 0; i < UPSTREAM_COUNT; i++) {
    const id = `upstream-${i}`;
    store.put(benchProtocol.upstreamPrefix + id, createEntry(id, i));
  }
  return store;
}

function createRoute(kind: "streaming" | "idempotent"): Route {
  return {
    name: kind,
    host: "127.0.0.1",
    prefix: `/${kind}`,
    kind,
    timeoutMs: 10_000,
    onTimeMs: 1_000,
    rank: 0,
    services: [{ service: kind, weight: 1 }],
    maxRuns: 2,
    keepsTurns: false,
    keepMs: 60_000,
    isResumable: false,
  };
}

function createEntry(id: string, index: number): UpstreamEntry {
  return {
    id,
    service: index % 2 === 0 ? "streaming" : "idempotent",
    address: upstreamAddress,
    dataCentre: DATA_CENTRE,
    slots: SLOTS,
    isDraining: false,
    coldLeftMs: 0,
    softwareVersion: "v1",
    startedAt: 0,
  };
}
