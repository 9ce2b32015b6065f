import { createNoopLoggers } from "@toucantrestle/log";
import {
  type CrashReport,
  CrashTracker,
  type SuccessReport,
  type UpstreamEntry,
} from "@toucantrestle/routing";
import { createManualTimer } from "@toucantrestle/timer";
import { expect } from "earl";
import { describe, it } from "node:test";
import { CrashSuspicions } from "../src/crash_suspicions.ts";

/** A lost connection is judged within this time. */
const JUDGED_MS = 1_000;
/** Until then the entry of an upstream that has ended is gone. */
const ENTRY_GONE_MS = 10_000;
const IDS = ["u1", "u2", "u3"];
const REQUEST = { fingerprint: "f" };

function createEntry(id: string): UpstreamEntry {
  return {
    id,
    service: "s",
    address: `${id}:80`,
    dataCentre: "a",
    slots: 4,
    isDraining: false,
    coldLeftMs: 0,
    softwareVersion: "v1",
    startedAt: 5,
  };
}

/** Suspicions of a front, and what its surroundings say. */
function createFront() {
  const timer = createManualTimer();
  const world = {
    isListening: true,
    isCut: false,
    isCurrent: true,
    siblingAnswer: undefined as boolean | undefined,
    /** Thrown by probes. */
    probeError: undefined as Error | undefined,
  };
  const probed: string[] = [];
  const crashes: CrashReport[] = [];
  const successes: SuccessReport[] = [];
  const crashTracker = new CrashTracker();
  const suspicions = new CrashSuspicions({
    crashTracker,
    isCurrent: () => world.isCurrent,
    isCut: () => world.isCut,
    probe(address) {
      probed.push(address);
      if (world.probeError) return Promise.reject(world.probeError);
      return Promise.resolve(world.isListening);
    },
    probeThroughSibling: () => Promise.resolve(world.siblingAnswer),
    onCrash: (report) => crashes.push(report),
    onSuccess: (report) => successes.push(report),
    timer,
    log: createNoopLoggers()("upstream"),
  });
  return {
    world,
    probed,
    crashes,
    successes,
    suspicions,
    refusal: () => suspicions.refusalOf(REQUEST.fingerprint),
    lose(ids: string[], fingerprint = REQUEST.fingerprint) {
      for (const id of ids) suspicions.suspect(fingerprint, createEntry(id));
    },
    /** Lets time pass, and all promises that are due resolve. */
    async advance(ms: number): Promise<void> {
      timer.advance(ms);
      await new Promise((resolve) => setImmediate(resolve));
    },
  };
}

describe("a lost connection to an upstream", () => {
  it("counts as a crash if the upstream has ended", async () => {
    const front = createFront();
    front.world.isListening = false;
    front.lose(IDS);
    await front.advance(JUDGED_MS);
    expect(front.refusal()).toEqual("convicted");
    expect(front.crashes.map((it) => it.upstream)).toEqual([
      "u1@5",
      "u2@5",
      "u3@5",
    ]);
    expect(front.crashes.map((it) => it.ageMs))
      .toEqual([JUDGED_MS, JUDGED_MS, JUDGED_MS]);
  });

  // Guards against more crashes of a request while they are looked into.
  it("counts on this front until that is known, and then no more", async () => {
    const front = createFront();
    front.lose(IDS);
    expect(front.refusal()).toEqual("suspected");
    await front.advance(JUDGED_MS);
    expect(front.refusal()).toEqual(undefined);
    expect(front.crashes).toEqual([]);
    await front.advance(ENTRY_GONE_MS);
    expect(front.crashes).toEqual([]);
    expect(front.suspicions.isEmpty).toEqual(true);
  });

  // Guards against a crash that is overlooked as something else listens there.
  it("counts as a crash once the entry of the process is gone", async () => {
    const front = createFront();
    front.lose(IDS);
    await front.advance(JUDGED_MS);
    front.world.isCurrent = false;
    await front.advance(ENTRY_GONE_MS);
    expect(front.crashes.length).toEqual(IDS.length);
    expect(front.refusal()).toEqual("convicted");
  });

  it("is looked into with one probe for all requests of a process", async () => {
    const front = createFront();
    front.world.isListening = false;
    for (const fingerprint of ["f", "g", "h"]) front.lose(["u1"], fingerprint);
    await front.advance(JUDGED_MS);
    expect(front.probed).toEqual(["u1:80"]);
    expect(front.crashes.length).toEqual(3);
  });

  const answers = [
    { siblingAnswer: true, crashes: 0, says: "accepts connections" },
    { siblingAnswer: false, crashes: 3, says: "has ended" },
    { siblingAnswer: undefined, crashes: 3, says: "may be anything" },
  ];
  for (const { siblingAnswer, crashes, says } of answers) {
    for (const isCut of [true, false]) {
      // Guards against a cut of the way from here that looks like crashes.
      it(`counts for what a sibling says: it ${says} (cut known: ${isCut})`, async () => {
        const front = createFront();
        Object.assign(front.world, {
          isListening: false,
          isCut,
          siblingAnswer,
        });
        front.lose(IDS);
        await front.advance(JUDGED_MS);
        expect(front.crashes.length).toEqual(crashes);
        expect(front.probed.length).toEqual(isCut ? 0 : IDS.length);
      });
    }
  }
});

// Guards against the refusal of a request that other upstreams run, as the
// upstreams that it lost had crashed for another reason.
describe("a request that succeeds elsewhere", () => {
  it("is not suspected while its crashes are looked into", async () => {
    const front = createFront();
    front.world.isListening = false;
    front.lose(IDS);
    front.suspicions.recordSuccess(REQUEST);
    expect(front.refusal()).toEqual(undefined);
    await front.advance(JUDGED_MS);
    expect(front.crashes).toEqual([]);
    expect(front.successes).toEqual([]);
  });

  it("is acquitted, also by siblings, after its crashes are known", async () => {
    const front = createFront();
    front.world.isListening = false;
    front.lose(IDS);
    await front.advance(JUDGED_MS);
    front.suspicions.recordSuccess(REQUEST);
    front.suspicions.recordSuccess(REQUEST);
    expect(front.refusal()).toEqual(undefined);
    expect(front.successes).toEqual([{ fingerprint: "f", ageMs: 0 }]);
  });

  it("is refused if it crashes three upstreams after that", async () => {
    const front = createFront();
    front.world.isListening = false;
    front.lose(IDS);
    await front.advance(JUDGED_MS);
    front.suspicions.recordSuccess(REQUEST);
    await front.advance(JUDGED_MS);
    front.lose(["u4", "u5", "u6"]);
    await front.advance(JUDGED_MS);
    expect(front.refusal()).toEqual("convicted");
  });
});

describe("a probe of an upstream that fails", () => {
  // Guards against a request that is refused for good, and against a rejection
  // that nothing handles (FAULT).
  it("does not count as the end of the upstream", async () => {
    const front = createFront();
    front.world.probeError = new Error("odd");
    front.lose(["u1", "u2", "u3"]);
    await front.advance(JUDGED_MS);
    await front.advance(ENTRY_GONE_MS);
    expect([front.crashes, front.refusal()]).toEqual([[], undefined]);
  });
});
