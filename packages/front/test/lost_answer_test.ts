import { expect } from "earl";
import { afterEach, beforeEach, describe, it } from "node:test";
import { setTimeout as delay } from "node:timers/promises";
import { PathFault } from "./path_fault.ts";
import { TestCluster, type UpstreamHandler, writeRaw } from "./test_cluster.ts";

/** From this time after its third crash on a request reaches no upstream. */
const STABLE_MS = 3_000;
const CONVICTING_CRASHES = 3;
const UPSTREAM_IDS = ["u1", "u2", "u3", "u4", "u5", "u6", "u7", "u8"];
/** Upstreams that crash while the others run the same request. */
const POPULAR_CRASHES = 4;
const TURN_HEADERS = { "x-prompt-tokens": "10", "x-max-output": "5" };
const CALLS = 20;
const CALL_INTERVAL_MS = 100;
const LIMIT_MS = 10_000;

/** What an upstream does in place of a whole response. */
type Fault = "reset" | "interrupt" | "crash" | "interrupt_and_crash";

let cluster: TestCluster;
/** Way from the front that is called to the upstreams. */
let path: PathFault;
let nextId: number;
let popularRuns: number;

beforeEach(async () => {
  cluster = new TestCluster();
  path = new PathFault();
  nextId = 0;
  popularRuns = 0;
  const once = { kind: "non_idempotent", maxRuns: 1 } as const;
  cluster.configure([
    { prefix: "/plain/" },
    { prefix: "/popular/", maxRuns: 2 },
    { ...once, prefix: "/reset/" },
    { ...once, prefix: "/crash/" },
    { prefix: "/interrupt/", kind: "streaming", maxRuns: 1 },
    { prefix: "/interrupt_and_crash/", kind: "streaming", maxRuns: 1 },
  ]);
  await cluster.addTurnStores(3);
  for (const id of UPSTREAM_IDS) await cluster.addUpstream(id, serve(id));
  await cluster.addFront({ dial: path.dial });
  await cluster.addFront();
  await cluster.waitUntilReady("/plain/x");
});

afterEach(async (t) => {
  cluster.printLogIfFailed(t);
  await cluster.close();
});

function serve(id: string): UpstreamHandler {
  const interrupt: UpstreamHandler = (_received, res) =>
    writeRaw(res, {
      delimiter: "close",
      body: "id: 1\nda",
      isCut: true,
      ending: "close",
    });
  const faults: Record<Fault, UpstreamHandler> = {
    reset: (_received, res) => res.req.socket.resetAndDestroy(),
    crash: () => cluster.crashUpstream(id),
    interrupt,
    interrupt_and_crash(received, res) {
      interrupt(received, res);
      cluster.crashUpstream(id);
    },
  };
  return (received, res) => {
    const name = received.path.split("/")[1] ?? "";
    if (name in faults) faults[name as Fault](received, res);
    else if (name === "popular" && isDoomed()) cluster.crashUpstream(id);
    else res.end("fine");
  };
}

/** Whether the upstream that runs the popular request now crashes. */
function isDoomed(): boolean {
  popularRuns += 1;
  return popularRuns % 2 === 1 && popularRuns < 2 * POPULAR_CRASHES;
}

async function call(pathname: string, front = 0): Promise<number> {
  const headers = { ...TURN_HEADERS, "x-id": `c${nextId++}` };
  return (await cluster.call(pathname, { front, headers })).status;
}

/** Sends a request again and again, also for some time after each failure. */
async function callMany(pathname: string): Promise<number[]> {
  const statuses: number[] = [];
  for (let i = 0; i < CALLS; i++) {
    statuses.push(await call(pathname));
    await delay(CALL_INTERVAL_MS);
  }
  return statuses;
}

function upstreamsReached(pathname: string): Set<unknown> {
  const received = cluster.received.filter((it) => it.path === pathname);
  return new Set(received.map((it) => it.headers["x-upstream"]));
}

/** Calls until the request was lost at enough upstreams to be convicted. */
async function callUntilConvicted(pathname: string): Promise<void> {
  for (let i = 0; i < CALLS; i++) {
    if (upstreamsReached(pathname).size >= CONVICTING_CRASHES) return;
    await call(pathname);
  }
  throw new Error(`${pathname} did not reach ${CONVICTING_CRASHES} upstreams`);
}

/** Cuts the first front off, and waits until it uses its sibling. */
async function cutOff(): Promise<void> {
  path.cut("refuse_new");
  const deadline = performance.now() + LIMIT_MS;
  let served = 0;
  while (served < UPSTREAM_IDS.length) {
    served = await call("/plain/x") === 200 ? served + 1 : 0;
    if (performance.now() > deadline) throw new Error("no way through sibling");
  }
  path.cut("reset");
  await delay(STABLE_MS);
}

for (const way of ["directly", "through a sibling"] as const) {
  const prepare = way === "directly" ? async () => {} : cutOff;

  describe(`a request that runs ${way} and whose answer is lost`, () => {
    // Guards against the refusal of a path that many ask for, though no
    // upstream has crashed.
    for (const fault of ["reset", "interrupt"] as const) {
      it(`is run by all fronts after the third loss (${fault})`, async () => {
        await prepare();
        await callUntilConvicted(`/${fault}/x`);
        await delay(STABLE_MS);
        cluster.received.length = 0;
        for (const front of [0, 1]) {
          expect(await call(`/${fault}/x`, front)).toEqual(502);
        }
        expect(cluster.received.length).toEqual(2);
      });
    }
  });

  describe(`a request that runs ${way} while upstreams crash`, () => {
    // Guards against the refusal of a path that others run without a crash.
    it("is served by those that go on", async () => {
      await prepare();
      const statuses = await callMany("/popular/x");
      expect(popularRuns).toBeGreaterThan(2 * POPULAR_CRASHES);
      expect(statuses.slice(CALLS / 2).filter((it) => it !== 200)).toEqual([]);
    });
  });

  describe(`a request that runs ${way} and crashes upstreams`, () => {
    // Guards against a crash that is taken for a lost answer.
    for (const fault of ["crash", "interrupt_and_crash"] as const) {
      it(`is refused by all fronts after the third crash (${fault})`, async () => {
        await prepare();
        await callUntilConvicted(`/${fault}/x`);
        await delay(STABLE_MS);
        const reached = upstreamsReached(`/${fault}/x`).size;
        expect(await call(`/${fault}/x`)).toEqual(503);
        expect(await call(`/${fault}/x`, 1)).toEqual(503);
        expect(upstreamsReached(`/${fault}/x`).size).toEqual(reached);
        expect(reached).toEqual(CONVICTING_CRASHES);
      });
    }
  });
}
