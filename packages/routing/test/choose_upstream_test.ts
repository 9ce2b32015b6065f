import { expect } from "earl";
import { describe, it } from "node:test";
import {
  type ChooseInput,
  CHOOSERS,
  PrefixCache,
  type PromptPart,
  UpstreamBook,
} from "../src/mod.ts";
import { createEntry } from "./fixtures.ts";

const NOW = 10_000;
const SHARED: PromptPart = { id: "shared", tokens: 2_500 };
const OWN: PromptPart = { id: "own", tokens: 1_000 };

describe("the choice by expected finish", () => {
  it("burst: a line of turns stays where its prompt is cached", () => {
    const input = createInput(["u1", "u2"]);
    input.caches.note("u1", [SHARED, OWN]);
    input.caches.note("u2", [SHARED]);
    load(input, "u1", 20);
    slow(input, "u1", 1.4);
    expect(choose(input)).toEqual("u1");
  });

  it("burst: a line of turns leaves an upstream that is over its slots", () => {
    const input = createInput(["u1", "u2"]);
    input.caches.note("u1", [SHARED, OWN]);
    input.caches.note("u2", [SHARED]);
    load(input, "u1", 400);
    expect(choose(input)).toEqual("u2");
  });

  it("cold caches after a release: work spreads over all upstreams", () => {
    const ids = Array.from({ length: 13 }, (_, i) => `u${i}`);
    const input = createInput(ids);
    const counts = chooseMany(input, 130);
    expect(counts.size).toEqual(13);
    expect(Math.max(...counts.values())).toBeLessThan(20);
  });

  it("a new program goes where what it shares was read", () => {
    const input = createInput(["u1", "u2", "u3"]);
    input.caches.note("u2", [SHARED]);
    expect(choose(input)).toEqual("u2");
  });

  it("one slow upstream among thirteen gets less work than the others", () => {
    const ids = Array.from({ length: 13 }, (_, i) => `u${i}`);
    const input = createInput(ids, { promptTokens: 0, parts: [] });
    slow(input, "u0", 4);
    const counts = chooseMany(input, 60);
    expect(counts.get("u0") ?? 0).toEqual(0);
  });

  it("what siblings have sent counts, so that not all choose the idle one", () => {
    const input = createInput(["u1", "u2"], { promptTokens: 0, parts: [] });
    const report = { u1: { running: 8, prefillTokens: 0 } };
    input.book.noteOthers("front-2", report, NOW);
    expect(choose(input)).toEqual("u2");
  });

  it("back from a cut: what siblings said long ago counts no more", () => {
    const input = createInput(["u1", "u2"], { promptTokens: 0, parts: [] });
    const report = { u1: { running: 8, prefillTokens: 0 } };
    input.book.noteOthers("front-2", report, NOW - 5_000);
    expect(new Set(chooseMany(input, 4).keys())).toEqual(new Set(["u1", "u2"]));
  });

  it("a kept connection goes before a new one", () => {
    const input = createInput(["u1", "u2"], { promptTokens: 0, parts: [] });
    const hasChannel = (id: string) => id === "u2";
    expect(choose({ ...input, hasChannel })).toEqual("u2");
  });
});

function createInput(
  ids: string[],
  change: Partial<ChooseInput> = {},
): ChooseInput {
  const book = new UpstreamBook({ onGone: () => {} });
  for (const id of ids) book.put(createEntry(id, { slots: 64 }));
  return {
    candidates: book.candidates("s", NOW),
    book,
    caches: new PrefixCache(),
    parts: [SHARED, OWN],
    promptTokens: SHARED.tokens + OWN.tokens,
    outputTokens: 40,
    workMs: 50,
    lastUpstream: undefined,
    dataCentre: "a",
    hasChannel: () => true,
    now: NOW,
    draw: 0.5,
    ...change,
  };
}

function choose(input: ChooseInput): string | undefined {
  return CHOOSERS.expected_finish(input)?.entry.id;
}

/** Chooses for requests that come at once and run on; counts by upstream. */
function chooseMany(input: ChooseInput, count: number): Map<string, number> {
  const counts = new Map<string, number>();
  for (let i = 0; i < count; i++) {
    const id = choose({ ...input, draw: (i * 0.618) % 1 });
    if (id === undefined) continue;
    load(input, id, 1);
    counts.set(id, (counts.get(id) ?? 0) + 1);
  }
  return counts;
}

function load(input: ChooseInput, id: string, running: number): void {
  const known = input.book.get(id);
  if (known) known.own.running += running;
}

function slow(input: ChooseInput, id: string, slowness: number): void {
  const known = input.book.get(id);
  if (!known) return;
  known.slowness = slowness;
  known.slownessAt = NOW;
}
