import { PrefixIndex, UpstreamRegistry } from "@toucantrestle/routing";
import { expect } from "earl";
import { describe, it } from "node:test";
import { UpstreamChoice } from "../src/upstream_choice.ts";
import { createUpstreamEntry } from "./watcher_fleet.ts";

/** Looks at the clock, of 1 ms each, by which a choice has begun and ended. */
const LOOKS = 12;

/** Creates the choice of a call while the only upstream is in its backoff. */
function createChoice(looksLeft: number): UpstreamChoice {
  const upstreamRegistry = new UpstreamRegistry({ onInstanceGone: () => {} });
  const entry = createUpstreamEntry("u");
  upstreamRegistry.put(entry);
  upstreamRegistry.recordFailure(entry, 0);
  const known = upstreamRegistry.get("u");
  let now = (known?.backoffUntil ?? 0) - looksLeft;
  const call = {
    isAbandoned: false,
    service: entry.service,
    head: { promptParts: [] },
    route: { name: "r" },
  };
  return new UpstreamChoice(call as never, undefined, {
    upstreamRegistry,
    timer: { monotonicNow: () => now++ },
    permits: { waitMs: () => 0, ask: () => Promise.resolve(true) },
    permitWeights: { weightOf: () => 1 },
    speedOf: () => ({ idleDecodeMsPerToken: 1, prefillMsPerToken: 1 }),
    prefixIndex: new PrefixIndex(),
    pools: { hasIdle: () => false },
    chooser: "expected_finish",
    disabled: new Set(),
    dataCentre: "a",
  } as never);
}

describe("a call beside an upstream that only a sibling reaches", () => {
  // Guards against a refusal (no_upstream) of a call that came as the backoff
  // ended: it was neither a candidate yet nor in its backoff any more.
  it("finds it at each moment around the end of its backoff", async () => {
    for (let looksLeft = -LOOKS; looksLeft <= LOOKS; looksLeft++) {
      const choice = createChoice(looksLeft);
      const found = await choice.choose() ?? await choice.chooseOutOfReach();
      expect(found?.entry.id).toEqual("u");
    }
  });
});
