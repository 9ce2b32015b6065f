import { SpeedEstimate } from "@toucantrestle/policy";
import type { Route, RoutingConfig, UpstreamEntry } from "../src/mod.ts";

export function createRoute(opts: Partial<Route> = {}): Route {
  return {
    name: "r",
    host: "x.example",
    prefix: "/",
    kind: "idempotent",
    timeoutMs: 1_000,
    onTimeMs: 100,
    rank: 0,
    services: [{ service: "s", weight: 1 }],
    maxRuns: 1,
    keepsTurns: false,
    keepMs: 60_000,
    isResumable: false,
    ...opts,
  };
}

export function createConfig(routes: Route[]): RoutingConfig {
  return {
    version: 1,
    routes,
    services: [],
    limits: {
      headerBytes: 16_384,
      bodyBytes: 1_000_000,
      headerTimeoutMs: 3_000,
      idleTimeoutMs: 15_000,
    },
  };
}

export function createEntry(
  id: string,
  opts: Partial<UpstreamEntry> = {},
): UpstreamEntry {
  return {
    id,
    service: "s",
    address: "10.0.0.1:80",
    dataCentre: "a",
    slots: 4,
    isDraining: false,
    coldLeftMs: 0,
    softwareVersion: "v1",
    startedAt: 0,
    ...opts,
  };
}

/** Creates the speed of an engine that prefills 42 tokens per ms. */
export function createSpeed(): SpeedEstimate {
  const speed = new SpeedEstimate();
  speed.prefillMsPerToken = 1 / 42;
  speed.decodeMsPerToken = 5.7;
  speed.idleDecodeMsPerToken = 5.7;
  return speed;
}
