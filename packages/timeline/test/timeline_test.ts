import { createManualTimer } from "@toucantrestle/timer";
import { expect } from "earl";
import { describe, it } from "node:test";
import {
  compareTimestamps,
  createTimeline,
  mergeTimelines,
  renderProgramSvg,
} from "../src/mod.ts";

function createSkewedTimelines() {
  const fastTimer = createManualTimer(10_000);
  const slowTimer = createManualTimer(0);
  return {
    a: createTimeline({ timer: fastTimer, host: "a", capacity: 10 }),
    b: createTimeline({ timer: slowTimer, host: "b", capacity: 10 }),
    slowTimer,
  };
}

describe("createTimeline", () => {
  it("orders an effect after its cause despite clock skew", () => {
    const { a, b } = createSkewedTimelines();
    a.record({ part: "x", kind: "cause" });
    b.clock.observe(a.clock.tick());
    b.record({ part: "x", kind: "effect" });
    const merged = mergeTimelines([b.select({}), a.select({})]);
    expect(merged.map((it) => it.kind)).toEqual(["cause", "effect"]);
  });

  it("returns monotonically increasing timestamps", () => {
    const { b, slowTimer } = createSkewedTimelines();
    const stamps = [1, 2, 3].map(() => {
      slowTimer.advance(1);
      return b.clock.tick();
    });
    expect([...stamps].sort(compareTimestamps)).toEqual(stamps);
  });

  it("evicts the oldest events beyond its capacity", () => {
    const { a } = createSkewedTimelines();
    for (let i = 0; i < 25; i++) a.record({ part: "x", kind: `k${i}` });
    const kinds = a.select({}).map((it) => it.kind);
    expect(kinds.length).toEqual(10);
    expect(kinds[0]).toEqual("k15");
  });

  it("renders one SVG bar per call", () => {
    const { a } = createSkewedTimelines();
    a.record({ part: "call", kind: "call_sent", request: "r1", detail: "<e>" });
    a.record({ part: "call", kind: "call_finished", request: "r1" });
    const svg = renderProgramSvg(a.select({}));
    expect(svg.match(/<rect/g)?.length).toEqual(1);
    expect(svg).toInclude("&lt;e>");
  });
});
