import { expect } from "earl";
import fc from "fast-check";
import { describe, it } from "node:test";
import { processKey, UpstreamRegistry } from "../src/mod.ts";
import { createEntry } from "./fixtures.ts";

const OLD = { id: "u1", startedAt: 5 };
const NEW = { id: "u1", startedAt: 9 };
const LOAD = { running: 3, prefillTokens: 7 };

function createRegistry(startedAt: number) {
  const registry = new UpstreamRegistry({ onInstanceGone: () => {} });
  registry.put(createEntry("u1", { startedAt }));
  const restart = () => registry.put(createEntry("u1", NEW));
  const running = () => registry.loadOf(registry.get("u1")!, 0).running;
  const isOffered = () => registry.candidates("s", 0).length === 1;
  return { registry, restart, running, isOffered };
}

// Guards against what one process did counting for the next one.
describe("an upstream that restarted under its id", () => {
  it("has none of the load of its previous process", () => {
    const { registry, restart, running } = createRegistry(5);
    const { localLoad } = registry.get("u1")!;
    localLoad.running += 2;
    registry.recordSiblingLoad("f2", "u1", { ...LOAD, startedAt: 5 }, 0);
    registry.recordSiblingLoad("f3", "u1", LOAD, 0);
    registry.recordQueriedLoad("u1", LOAD, 0);
    restart();
    expect(running()).toEqual(0);
    // The requests of the previous process end later.
    localLoad.running -= 2;
    expect(running()).toEqual(0);
  });

  it("ignores late reports of loads on its previous process", () => {
    const { registry, running } = createRegistry(9);
    registry.recordSiblingLoad("f2", "u1", { ...LOAD, startedAt: 5 }, 0);
    registry.recordQueriedLoad("u1", { ...LOAD, startedAt: 5 }, 0);
    expect(running()).toEqual(0);
  });

  it("has a load that a sibling reported before the entry arrived", () => {
    const { registry, restart, running } = createRegistry(5);
    registry.recordSiblingLoad("f2", "u1", { ...LOAD, startedAt: 9 }, 0);
    registry.recordSiblingLoad("f2", "u1", { ...LOAD, startedAt: 5 }, 0);
    expect(running()).toEqual(0);
    restart();
    expect(running()).toEqual(3);
  });

  it("is neither avoided nor cleared for its previous process", () => {
    const { registry, isOffered } = createRegistry(9);
    registry.recordFailure(OLD, 0);
    expect(isOffered()).toEqual(true);
    registry.recordFailure(NEW, 0);
    registry.recordSuccess(OLD);
    registry.recordFailure(NEW, 0);
    expect(registry.get("u1")?.backoffUntil).toEqual(500);
  });

  it("is not slow because its previous process was", () => {
    const { registry, restart } = createRegistry(5);
    const ratio = () => registry.latencyRatioOf(registry.get("u1")!, 0);
    for (const ms of [1, 1, 100]) registry.recordDuration(OLD, "k", ms, 0);
    expect(ratio()).toBeGreaterThan(1);
    restart();
    registry.recordDuration(OLD, "k", 100, 0);
    expect(ratio()).toEqual(1);
  });

  it("has a key of its own for its crashes", () => {
    expect(processKey(OLD) === processKey(NEW)).toEqual(false);
  });

  it("stays the latest process in whatever order entries arrive", () => {
    const starts = fc.array(fc.integer({ min: 1, max: 9 }), { minLength: 1 });
    fc.assert(fc.property(starts, (order) => {
      const { registry } = createRegistry(0);
      for (const startedAt of order) {
        registry.put(createEntry("u1", { startedAt }));
      }
      const latest = Math.max(...order);
      expect(registry.isCurrent({ id: "u1", startedAt: latest })).toEqual(true);
    }));
  });
});

// Guards against what one process did counting for the next one, before the
// entry of that one is read.
describe("an upstream whose restart is heard of before its entry is read", () => {
  it("has a later start, no version and nothing of its previous process", () => {
    const gone: string[] = [];
    const registry = new UpstreamRegistry({
      onInstanceGone: (id) => gone.push(id),
    });
    registry.put(createEntry("u1", { ...OLD, softwareVersion: "v1" }));
    registry.recordFailure(OLD, 0);
    expect(registry.recordRestart(NEW)).toEqual(true);
    expect(registry.recordRestart(NEW)).toEqual(false);
    expect(registry.recordRestart(OLD)).toEqual(false);
    const { entry, backoffUntil } = registry.get("u1")!;
    expect([entry.startedAt, entry.softwareVersion, backoffUntil, gone])
      .toEqual([NEW.startedAt, undefined, 0, ["u1"]]);
  });

  it("takes its version from the entry that is read then", () => {
    const { registry, restart } = createRegistry(OLD.startedAt);
    registry.recordRestart(NEW);
    registry.put(createEntry("u1", { ...NEW, softwareVersion: "v2" }));
    expect(registry.get("u1")?.entry.softwareVersion).toEqual("v2");
    expect(restart()).toEqual(undefined);
  });

  // Guards against an upstream that can never be heard of again (DRAIN).
  it("is what a later entry says, whatever was heard", () => {
    const { registry } = createRegistry(OLD.startedAt);
    registry.recordRestart({ id: "u1", startedAt: Number.MAX_SAFE_INTEGER });
    registry.put(createEntry("u1", { ...OLD, isDraining: true }));
    expect(registry.get("u1")?.entry)
      .toEqual(createEntry("u1", { ...OLD, isDraining: true }));
  });

  it("stays missing and suspended", () => {
    const { registry } = createRegistry(OLD.startedAt);
    registry.markMissing("u1", 3);
    registry.recordRestart(NEW);
    expect(registry.get("u1")?.missingSince).toEqual(3);
  });
});
