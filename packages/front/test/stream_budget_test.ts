import { expect } from "earl";
import { describe, it } from "node:test";
import {
  MAX_KEPT_OUTPUT_BYTES,
  streamBoundOf,
  StreamBudget,
} from "../src/stream_budget.ts";

function createCall(
  { tokens, tokensPerEvent, keepsTurns = false }: {
    tokens?: number;
    tokensPerEvent?: number;
    keepsTurns?: boolean;
  },
): Parameters<typeof streamBoundOf>[0] {
  const engine = { slots: 1, cacheTokens: 1, tokensPerEvent };
  return {
    head: { maxOutputTokens: tokens },
    service: "s",
    config: {
      services: [{ name: "s", ...(tokensPerEvent ? { engine } : {}) }],
    },
    route: { keepsTurns },
  } as never;
}

describe("streamBoundOf", () => {
  it("allows an event for each token, and as many beside them", () => {
    const { events } = streamBoundOf(createCall({ tokens: 100 }));
    expect(events >= 200).toEqual(true);
    expect(events <= 300).toEqual(true);
  });

  it("allows finer events than the configuration of the engine says", () => {
    const fine = streamBoundOf(createCall({ tokens: 100, tokensPerEvent: 8 }));
    const plain = streamBoundOf(createCall({ tokens: 100 }));
    expect(fine).toEqual(plain);
  });

  it("allows more events than tokens if an event is less than a token", () => {
    const { events } = streamBoundOf(
      createCall({ tokens: 100, tokensPerEvent: 0.5 }),
    );
    expect(events >= 400).toEqual(true);
  });

  it("allows one event of the greatest length for one token", () => {
    const { bytes } = streamBoundOf(createCall({ tokens: 1 }));
    expect(bytes >= 262_144).toEqual(true);
  });

  // Guards against the memory of a turn that is kept without end.
  it("bounds what is kept if nothing says how much was asked for", () => {
    expect(streamBoundOf(createCall({ keepsTurns: true }))).toEqual({
      events: Infinity,
      bytes: MAX_KEPT_OUTPUT_BYTES,
    });
  });

  it("does not bound what is only passed on and not counted", () => {
    for (const tokens of [undefined, 0]) {
      const call = createCall(tokens === undefined ? {} : { tokens });
      expect(streamBoundOf(call)).toEqual({
        events: Infinity,
        bytes: Infinity,
      });
    }
  });
});

describe("StreamBudget", () => {
  it("takes events until there are too many", () => {
    const budget = new StreamBudget({ events: 2, bytes: Infinity });
    expect([budget.take(1), budget.take(1)]).toEqual([true, true]);
    expect(budget.isSpent).toEqual(false);
    expect(budget.take(1)).toEqual(false);
    expect(budget.isSpent).toEqual(true);
  });

  it("takes events until they are too long together", () => {
    const budget = new StreamBudget({ events: Infinity, bytes: 10 });
    expect([budget.take(5), budget.take(5)]).toEqual([true, true]);
    expect([budget.take(1), budget.take(0)]).toEqual([false, false]);
  });
});
