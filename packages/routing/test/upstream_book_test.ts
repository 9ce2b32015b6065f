import { expect } from "earl";
import { describe, it } from "node:test";
import { CHOOSERS, PrefixCache, UpstreamBook } from "../src/mod.ts";
import { createEntry } from "./fixtures.ts";

function createBook() {
  const gone: string[] = [];
  return { gone, book: new UpstreamBook({ onGone: (id) => gone.push(id) }) };
}

function idsOf(book: UpstreamBook, now = 0): string[] {
  return book.candidates("s", now).map((it) => it.entry.id);
}

describe("tracking of upstreams", () => {
  it("offers no draining or removed upstream as a candidate", () => {
    const { book } = createBook();
    book.put(createEntry("u1"));
    book.put(createEntry("u2"));
    book.put(createEntry("u2", { isDraining: true }));
    book.put(createEntry("u3"));
    book.remove("u3");
    expect(idsOf(book)).toEqual(["u1"]);
  });

  it("resets the tracked state of an upstream that restarted", () => {
    const { book, gone } = createBook();
    book.put(createEntry("u1", { startedAt: 5 }));
    expect(book.put(createEntry("u1", { startedAt: 9 }))).toEqual("restarted");
    expect(gone).toEqual(["u1"]);
  });

  it("ignores a stale entry from before a restart", () => {
    const { book } = createBook();
    book.put(createEntry("u1", { startedAt: 9 }));
    book.put(createEntry("u1", { startedAt: 5, isDraining: true }));
    expect(idsOf(book)).toEqual(["u1"]);
  });

  it("keeps entries that expired in a store outage for two more seconds", () => {
    const { book } = createBook();
    book.put(createEntry("u1"));
    book.put(createEntry("u2"));
    book.replaceAll([createEntry("u1")], 1_000);
    book.sweep(2_900);
    expect(idsOf(book)).toEqual(["u1", "u2"]);
    expect(book.sweep(3_300)).toEqual(["u2"]);
  });

  it("keeps using an upstream whose entry may only have expired", () => {
    const { book } = createBook();
    book.put(createEntry("u1"));
    book.put(createEntry("u2"));
    book.lapse("u1", 1_000);
    book.lapse("u2", 1_000);
    expect(idsOf(book)).toEqual(["u1", "u2"]);
    book.put(createEntry("u1"));
    expect(book.sweep(3_500)).toEqual(["u2"]);
  });

  it("keeps an upstream whose entry returns within the grace period", () => {
    const { book } = createBook();
    book.put(createEntry("u1"));
    book.replaceAll([], 1_000);
    book.put(createEntry("u1"));
    expect(book.sweep(9_000)).toEqual([]);
  });

  it("backs off from a failed upstream, longer after each failure", () => {
    const { book } = createBook();
    book.put(createEntry("u1"));
    book.noteFailure("u1", 0);
    expect(idsOf(book, 100)).toEqual([]);
    expect(idsOf(book, 300)).toEqual(["u1"]);
    book.noteFailure("u1", 300);
    expect(idsOf(book, 600)).toEqual([]);
  });

  it("counts the load of siblings until their reports are stale", () => {
    const { book } = createBook();
    book.put(createEntry("u1"));
    const load = { running: 3, prefillTokens: 7 };
    book.noteOthers("front-2", { u1: load }, 0);
    const known = book.get("u1")!;
    expect(book.loadOf(known, 100)).toEqual(load);
    expect(book.loadOf(known, 9_000).running).toEqual(0);
  });
});

describe("a slow upstream", () => {
  it("is detected by its durations and gets work again after the decay", () => {
    const { book } = createBook();
    book.put(createEntry("u1"));
    book.put(createEntry("u2"));
    for (let i = 0; i < 20; i++) {
      book.noteDuration("u2", "k", 100, 0);
      book.noteDuration("u1", "k", 500, 0);
    }
    const slow = book.get("u1")!;
    expect(book.latencyRatioOf(slow, 0) > 1.8).toEqual(true);
    expect(book.latencyRatioOf(slow, 20_000) < 1.1).toEqual(true);
  });
});

describe("the expected finish chooser", () => {
  function choose(
    book: UpstreamBook,
    caches: PrefixCache,
    parts: { id: string; tokens: number }[],
  ) {
    const promptTokens = parts.reduce((sum, it) => sum + it.tokens, 0);
    return CHOOSERS.expected_finish({
      candidates: book.candidates("s", 0),
      book,
      caches,
      parts,
      promptTokens,
      outputTokens: 30,
      workMs: 100,
      lastUpstream: undefined,
      dataCentre: "a",
      hasChannel: () => true,
      now: 0,
      draw: 0,
    })?.entry.id;
  }

  it("sends a turn to the engine that cached its prompt", () => {
    const { book } = createBook();
    const caches = new PrefixCache();
    const parts = [{ id: "p", tokens: 3_000 }];
    for (const id of ["u1", "u2", "u3"]) book.put(createEntry(id));
    caches.note("u2", parts);
    expect(choose(book, caches, parts)).toEqual("u2");
  });

  it("gives up a cached prompt when the queue of its engine is long", () => {
    const { book } = createBook();
    const caches = new PrefixCache();
    const parts = [{ id: "p", tokens: 3_000 }];
    for (const id of ["u1", "u2"]) book.put(createEntry(id));
    caches.note("u2", parts);
    book.get("u2")!.own = { running: 8, prefillTokens: 9_000 };
    expect(choose(book, caches, parts)).toEqual("u1");
  });

  it("avoids a slow upstream", () => {
    const { book } = createBook();
    for (const id of ["u1", "u2", "u3"]) book.put(createEntry(id));
    for (let i = 0; i < 20; i++) {
      book.noteDuration("u2", "k", 100, 0);
      book.noteDuration("u1", "k", 500, 0);
    }
    const chosen = choose(book, new PrefixCache(), []);
    expect(chosen === "u1").toEqual(false);
  });
});
