import { expect } from "earl";
import { describe, it } from "node:test";
import { CHOOSERS, PrefixIndex, UpstreamRegistry } from "../src/mod.ts";
import { createEntry, createSpeed } from "./fixtures.ts";

function createRegistry() {
  const gone: string[] = [];
  return {
    gone,
    registry: new UpstreamRegistry({ onInstanceGone: (id) => gone.push(id) }),
  };
}

function idsOf(registry: UpstreamRegistry, now = 0): string[] {
  return registry.candidates("s", now).map((it) => it.entry.id);
}

describe("tracking of upstreams", () => {
  it("offers no draining or removed upstream as a candidate", () => {
    const { registry } = createRegistry();
    registry.put(createEntry("u1"));
    registry.put(createEntry("u2"));
    registry.put(createEntry("u2", { isDraining: true }));
    registry.put(createEntry("u3"));
    registry.remove("u3");
    expect(idsOf(registry)).toEqual(["u1"]);
  });

  it("resets the tracked state of an upstream that restarted", () => {
    const { registry, gone } = createRegistry();
    registry.put(createEntry("u1", { startedAt: 5 }));
    expect(registry.put(createEntry("u1", { startedAt: 9 }))).toEqual(
      "restarted",
    );
    expect(gone).toEqual(["u1"]);
  });

  it("keeps the software version while a later entry lacks it", () => {
    const { registry } = createRegistry();
    const unreadable = { startedAt: 5, softwareVersion: undefined };
    registry.put(createEntry("u1", { startedAt: 5, softwareVersion: "v1" }));
    registry.put(createEntry("u1", unreadable));
    expect(registry.get("u1")?.entry.softwareVersion).toEqual("v1");
    registry.put(createEntry("u1", { ...unreadable, startedAt: 9 }));
    expect(registry.get("u1")?.entry.softwareVersion).toEqual(undefined);
  });

  it("ignores a stale entry from before a restart", () => {
    const { registry } = createRegistry();
    registry.put(createEntry("u1", { startedAt: 9 }));
    registry.put(createEntry("u1", { startedAt: 5, isDraining: true }));
    expect(idsOf(registry)).toEqual(["u1"]);
  });

  it("keeps entries that expired in an outage for two more seconds", () => {
    const { registry } = createRegistry();
    registry.put(createEntry("u1"));
    registry.put(createEntry("u2"));
    registry.markMissing("u2", 1_000);
    registry.sweep(2_900);
    expect(idsOf(registry)).toEqual(["u1", "u2"]);
    expect(registry.sweep(3_300)).toEqual(["u2"]);
  });

  it("keeps using an upstream whose entry may only have expired", () => {
    const { registry } = createRegistry();
    registry.put(createEntry("u1"));
    registry.put(createEntry("u2"));
    registry.markMissing("u1", 1_000);
    registry.markMissing("u2", 1_000);
    expect(idsOf(registry)).toEqual(["u1", "u2"]);
    registry.put(createEntry("u1"));
    expect(registry.sweep(3_500)).toEqual(["u2"]);
  });

  it("keeps an upstream whose entry returns within the grace period", () => {
    const { registry } = createRegistry();
    registry.put(createEntry("u1"));
    registry.markMissing("u1", 1_000);
    registry.put(createEntry("u1"));
    expect(registry.sweep(9_000)).toEqual([]);
  });

  it("backs off from a failed upstream, longer after each failure", () => {
    const { registry } = createRegistry();
    registry.put(createEntry("u1"));
    registry.recordFailure({ id: "u1", startedAt: 0 }, 0);
    expect(idsOf(registry, 100)).toEqual([]);
    expect(idsOf(registry, 300)).toEqual(["u1"]);
    registry.recordFailure({ id: "u1", startedAt: 0 }, 300);
    expect(idsOf(registry, 600)).toEqual([]);
  });

  it("counts the load of siblings until their reports are stale", () => {
    const { registry } = createRegistry();
    registry.put(createEntry("u1"));
    const load = { running: 3, prefillTokens: 7 };
    registry.recordSiblingLoad("front-2", "u1", load, 0);
    const known = registry.get("u1")!;
    expect(registry.loadOf(known, 100)).toEqual(load);
    expect(registry.loadOf(known, 9_000).running).toEqual(0);
  });
});

describe("a slow upstream", () => {
  it("is detected by its durations and gets work again after the decay", () => {
    const { registry } = createRegistry();
    registry.put(createEntry("u1"));
    registry.put(createEntry("u2"));
    for (let i = 0; i < 20; i++) {
      registry.recordDuration({ id: "u2", startedAt: 0 }, "k", 100, 0);
      registry.recordDuration({ id: "u1", startedAt: 0 }, "k", 500, 0);
    }
    const slow = registry.get("u1")!;
    expect(registry.latencyRatioOf(slow, 0) > 1.8).toEqual(true);
    expect(registry.latencyRatioOf(slow, 20_000) < 1.1).toEqual(true);
  });
});

describe("the expected finish chooser", () => {
  function choose(
    registry: UpstreamRegistry,
    prefixIndex: PrefixIndex,
    parts: { id: string; tokens: number }[],
  ) {
    const promptTokens = parts.reduce((sum, it) => sum + it.tokens, 0);
    return CHOOSERS.expected_finish({
      candidates: registry.candidates("s", 0),
      upstreamRegistry: registry,
      prefixIndex,
      parts,
      promptTokens,
      outputTokens: 30,
      speed: createSpeed(),
      workMs: 100,
      lastUpstream: undefined,
      dataCentre: "a",
      hasIdleConnection: () => true,
      now: 0,
      disabled: new Set(),
      draw: 0,
    })?.entry.id;
  }

  it("sends a turn to the engine that cached its prompt", () => {
    const { registry } = createRegistry();
    const prefixIndex = new PrefixIndex();
    const parts = [{ id: "p", tokens: 3_000 }];
    for (const id of ["u1", "u2", "u3"]) registry.put(createEntry(id));
    prefixIndex.recordPrefill("u2", parts);
    expect(choose(registry, prefixIndex, parts)).toEqual("u2");
  });

  it("avoids the engine with the cached prompt when its queue is long", () => {
    const { registry } = createRegistry();
    const prefixIndex = new PrefixIndex();
    const parts = [{ id: "p", tokens: 3_000 }];
    for (const id of ["u1", "u2"]) registry.put(createEntry(id));
    prefixIndex.recordPrefill("u2", parts);
    registry.get("u2")!.localLoad = { running: 8, prefillTokens: 9_000 };
    expect(choose(registry, prefixIndex, parts)).toEqual("u1");
  });

  it("avoids a slow upstream", () => {
    const { registry } = createRegistry();
    for (const id of ["u1", "u2", "u3"]) registry.put(createEntry(id));
    for (let i = 0; i < 20; i++) {
      registry.recordDuration({ id: "u2", startedAt: 0 }, "k", 100, 0);
      registry.recordDuration({ id: "u1", startedAt: 0 }, "k", 500, 0);
    }
    const chosen = choose(registry, new PrefixIndex(), []);
    expect(chosen === "u1").toEqual(false);
  });
});
