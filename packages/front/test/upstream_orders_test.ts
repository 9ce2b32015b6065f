import { expect } from "earl";
import fc from "fast-check";
import { describe, it } from "node:test";
import {
  acceptingIds,
  createUpstreamEntry,
  upstreamKey,
  WatcherFleet,
  type WatchingFront,
} from "./watcher_fleet.ts";

const IDS = ["u1", "u2", "u3"];
const RUNS = 300;
const MAX_STEPS = 40;
/** Time after which retries, outages and the grace of lapses are over, in ms. */
const QUIET_MS = 10_000;

/** What may happen, in any order. */
type Step =
  | { kind: "put" | "drain" | "delete"; id: string }
  /** The upstream starts anew. */
  | { kind: "restart"; id: string }
  | { kind: "poll" | "cut_off" | "reconnect"; front: number }
  /** The front lists the upstreams anew, as they were some changes ago. */
  | { kind: "list"; front: number; staleBy: number }
  /** The front asks a sibling, as it does while it is cut off. */
  | { kind: "ask"; front: number; sibling: number }
  | { kind: "compact" | "news" }
  | { kind: "advance"; ms: number };

type StepHandlers = {
  [K in Step["kind"]]: (step: Extract<Step, { kind: K }>) => unknown;
};

const anyFront = fc.integer({ min: 0, max: 2 });
const anyId = fc.constantFrom(...IDS);
const anyStep: fc.Arbitrary<Step> = fc.oneof(
  fc.record({ kind: fc.constantFrom("put", "drain", "delete"), id: anyId }),
  fc.record({ kind: fc.constant("restart"), id: anyId }),
  fc.record({
    kind: fc.constantFrom("poll", "cut_off", "reconnect"),
    front: anyFront,
  }),
  fc.record({
    kind: fc.constant("list"),
    front: anyFront,
    staleBy: fc.integer({ min: 0, max: 6 }),
  }),
  fc.record({ kind: fc.constant("ask"), front: anyFront, sibling: anyFront }),
  fc.record({ kind: fc.constantFrom("compact", "news") }),
  fc.record({
    kind: fc.constant("advance"),
    ms: fc.constantFrom(100, 900, 2_100, 3_000),
  }),
) as fc.Arbitrary<Step>;

/** A store and fronts, to which the steps of a run happen. */
class Run {
  readonly fleet = new WatcherFleet(["reader", "reader", "seldom"]);
  /** What the store says of each upstream. */
  readonly #state = new Map<string, "ready" | "draining">();
  #startedAt = 1;

  readonly #handlers: StepHandlers = {
    put: ({ id }) => {
      // No upstream takes back that it drains.
      if (this.#state.get(id) === "draining") return;
      this.#write(id, "ready");
    },
    drain: ({ id }) => {
      if (this.#state.has(id)) this.#write(id, "draining");
    },
    delete: ({ id }) => {
      if (this.#state.delete(id)) this.fleet.store.delete(upstreamKey(id));
    },
    restart: ({ id }) => {
      this.#startedAt += 1;
      this.#write(id, "ready");
    },
    poll: ({ front }) => this.fleet.poll(this.#front(front)),
    cut_off: ({ front }) => this.#front(front).readings.cutOff(),
    reconnect: ({ front }) => {
      this.#front(front).readings.isCutOff = false;
    },
    list: ({ front, staleBy }) => {
      this.#front(front).readings.staleBy = staleBy;
      return this.fleet.end(this.#front(front), "outdated");
    },
    ask: ({ front, sibling }) =>
      this.fleet.ask(this.#front(front), this.#front(sibling)),
    compact: () => this.fleet.store.compact(),
    news: () => this.fleet.deliverNews(),
    advance: ({ ms }) => this.fleet.advance(ms),
  };

  /** Upstreams that take requests, as the store has it. */
  get readyIds(): string[] {
    return IDS.filter((it) => this.#state.get(it) === "ready");
  }

  async play(steps: Step[]): Promise<void> {
    for (const id of IDS) this.#write(id, "ready");
    await this.fleet.start();
    for (const step of steps) await this.#handlers[step.kind](step as never);
  }

  /** Lets these fronts reach and read the store, and delivers all news. */
  async calmDown(fronts: WatchingFront[]): Promise<void> {
    for (const { readings } of fronts) readings.isCutOff = false;
    for (let i = 0; i < 4; i++) {
      await this.fleet.advance(QUIET_MS);
      await this.fleet.poll(...fronts);
      this.fleet.deliverNews();
    }
  }

  #write(id: string, state: "ready" | "draining"): void {
    this.#state.set(id, state);
    const isDraining = state === "draining";
    const startedAt = this.#startedAt;
    const entry = createUpstreamEntry(id, { isDraining, startedAt });
    this.fleet.store.put(upstreamKey(id), entry);
  }

  #front(index: number): WatchingFront {
    return this.fleet.fronts[index] as WatchingFront;
  }
}

// Guards against DRAIN: orders of what fronts read and hear that no one wrote.
describe("fronts that read the store and hear of each other", () => {
  it("agree with the store once all have read it", async () => {
    await fc.assert(
      fc.asyncProperty(
        fc.array(anyStep, { maxLength: MAX_STEPS }),
        async (steps) => {
          const run = new Run();
          await run.play(steps);
          await run.calmDown(run.fleet.fronts);
          for (const front of run.fleet.fronts) {
            expect(acceptingIds(front)).toEqual(run.readyIds);
          }
        },
      ),
      { numRuns: RUNS },
    );
  });

  it("hear of each upstream that leaves from one that reads", async () => {
    await fc.assert(
      fc.asyncProperty(
        fc.array(anyStep, { maxLength: MAX_STEPS }),
        async (steps) => {
          const run = new Run();
          await run.play(steps);
          await run.calmDown(run.fleet.fronts.slice(0, 1));
          for (const front of run.fleet.fronts) {
            const left = acceptingIds(front).filter((it) =>
              !run.readyIds.includes(it)
            );
            expect(left).toEqual([]);
          }
        },
      ),
      { numRuns: RUNS },
    );
  });
});
