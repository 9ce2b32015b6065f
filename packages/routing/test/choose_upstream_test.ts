import { expect } from "earl";
import { describe, it } from "node:test";
import {
  type ChooserInput,
  CHOOSERS,
  PrefixIndex,
  type PromptPart,
  UpstreamRegistry,
} from "../src/mod.ts";
import { createEntry, createSpeed } from "./fixtures.ts";

const NOW = 10_000;
const SHARED: PromptPart = { id: "shared", tokens: 2_500 };
const OWN: PromptPart = { id: "own", tokens: 1_000 };

describe("choosing by expected finish", () => {
  it("burst: keeps a conversation where its prompt is cached", () => {
    const input = createInput(["u1", "u2"]);
    input.prefixIndex.recordPrefill("u1", [SHARED, OWN]);
    input.prefixIndex.recordPrefill("u2", [SHARED]);
    addLoad(input, "u1", 20);
    setLatencyRatio(input, "u1", 1.4);
    expect(choose(input)).toEqual("u1");
  });

  it("burst: moves a conversation away from an overloaded upstream", () => {
    const input = createInput(["u1", "u2"]);
    input.prefixIndex.recordPrefill("u1", [SHARED, OWN]);
    input.prefixIndex.recordPrefill("u2", [SHARED]);
    addLoad(input, "u1", 400);
    expect(choose(input)).toEqual("u2");
  });

  it("burst: leaves a cached prompt where all slots are full", () => {
    const input = createInput(["u1", "u2"]);
    input.prefixIndex.recordPrefill("u1", [SHARED, OWN]);
    input.prefixIndex.recordPrefill("u2", [SHARED]);
    addLoad(input, "u1", 80, 9_000);
    addLoad(input, "u2", 12);
    expect(choose(input)).toEqual("u2");
  });

  it("burst: keeps a conversation where prompts wait but slots are free", () => {
    const input = createInput(["u1", "u2"]);
    input.prefixIndex.recordPrefill("u1", [SHARED, OWN]);
    input.prefixIndex.recordPrefill("u2", [SHARED]);
    addLoad(input, "u1", 20, 9_000);
    addLoad(input, "u2", 12);
    expect(choose(input)).toEqual("u1");
  });

  it("spreads work over all upstreams after a release with cold caches", () => {
    const ids = Array.from({ length: 13 }, (_, i) => `u${i}`);
    const input = createInput(ids);
    const counts = chooseMany(input, 130);
    expect(counts.size).toEqual(13);
    expect(Math.max(...counts.values())).toBeLessThan(20);
  });

  it("sends a new program to where its shared prompt part is cached", () => {
    const input = createInput(["u1", "u2", "u3"]);
    input.prefixIndex.recordPrefill("u2", [SHARED]);
    expect(choose(input)).toEqual("u2");
  });

  it("sends no work to a slow upstream among thirteen", () => {
    const ids = Array.from({ length: 13 }, (_, i) => `u${i}`);
    const input = createInput(ids, { promptTokens: 0, parts: [] });
    setLatencyRatio(input, "u0", 4);
    const counts = chooseMany(input, 60);
    expect(counts.get("u0") ?? 0).toEqual(0);
  });

  it("counts siblings' load, so that not all choose the same upstream", () => {
    const input = createInput(["u1", "u2"], { promptTokens: 0, parts: [] });
    const load = { running: 8, prefillTokens: 0 };
    input.upstreamRegistry.recordSiblingLoad("front-2", "u1", load, NOW);
    expect(choose(input)).toEqual("u2");
  });

  it("ignores stale load reports of siblings after a network partition", () => {
    const input = createInput(["u1", "u2"], { promptTokens: 0, parts: [] });
    const load = { running: 8, prefillTokens: 0 };
    const reportedAt = NOW - 5_000;
    input.upstreamRegistry.recordSiblingLoad("front-2", "u1", load, reportedAt);
    expect(new Set(chooseMany(input, 4).keys())).toEqual(new Set(["u1", "u2"]));
  });

  it("prefers an upstream with an idle connection to a new connection", () => {
    const input = createInput(["u1", "u2"], { promptTokens: 0, parts: [] });
    const hasIdleConnection = (id: string) => id === "u2";
    expect(choose({ ...input, hasIdleConnection })).toEqual("u2");
  });
});

function createInput(
  ids: string[],
  overrides: Partial<ChooserInput> = {},
): ChooserInput {
  const registry = new UpstreamRegistry({ onInstanceGone: () => {} });
  for (const id of ids) registry.put(createEntry(id, { slots: 64 }));
  return {
    candidates: registry.candidates("s", NOW),
    upstreamRegistry: registry,
    prefixIndex: new PrefixIndex(),
    parts: [SHARED, OWN],
    promptTokens: SHARED.tokens + OWN.tokens,
    outputTokens: 40,
    speed: createSpeed(),
    workMs: 50,
    lastUpstream: undefined,
    dataCentre: "a",
    hasIdleConnection: () => true,
    now: NOW,
    disabled: new Set(),
    draw: 0.5,
    ...overrides,
  };
}

function choose(input: ChooserInput): string | undefined {
  return CHOOSERS.expected_finish(input)?.entry.id;
}

/** Chooses for requests that never finish; counts them by upstream. */
function chooseMany(input: ChooserInput, count: number): Map<string, number> {
  const counts = new Map<string, number>();
  for (let i = 0; i < count; i++) {
    const id = choose({ ...input, draw: (i * 0.618) % 1 });
    if (id === undefined) continue;
    addLoad(input, id, 1);
    counts.set(id, (counts.get(id) ?? 0) + 1);
  }
  return counts;
}

function addLoad(
  input: ChooserInput,
  id: string,
  running: number,
  prefillTokens = 0,
): void {
  const known = input.upstreamRegistry.get(id);
  if (!known) return;
  known.localLoad.running += running;
  known.localLoad.prefillTokens += prefillTokens;
}

function setLatencyRatio(
  input: ChooserInput,
  id: string,
  latencyRatio: number,
): void {
  const known = input.upstreamRegistry.get(id);
  if (!known) return;
  known.latencyRatio = latencyRatio;
  known.latencyRatioAt = NOW;
}
