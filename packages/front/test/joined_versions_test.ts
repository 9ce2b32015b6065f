import { expect } from "earl";
import { afterEach, describe, it } from "node:test";
import { CutStore, type StoreCut } from "./cut_store.ts";
import { PathFault } from "./path_fault.ts";
import {
  EVENTS_BEFORE_BREAK,
  type ReportKind,
  SoftwareUpstreams,
  upstreamsIn,
  versionsIn,
} from "./software_upstreams.ts";
import { type CallResult, TestCluster } from "./test_cluster.ts";

const STREAMS = 16;
const ROUTE = { kind: "streaming", isResumable: true } as const;
const ROUTES = [
  { ...ROUTE, prefix: "/once/", maxRuns: 1 },
  { ...ROUTE, prefix: "/twice/", maxRuns: 2 },
  { ...ROUTE, prefix: "/kept/", maxRuns: 2, keepsTurns: true },
];
/** Upstreams of the first version; two of them are replaced in most cases. */
const IDS = ["a1", "a2", "a3", "a4"];
const REPLACED = ["a1", "a2"];
const STARTED_AT = 1_000;
/** Front that takes up streams that another one has begun. */
const OTHER_FRONT = 1;

/** What entries and reports name of the start of a process. */
interface Naming {
  hasStartTime: boolean;
  report: ReportKind;
}

const NAMINGS: Record<string, Naming> = {
  "entries and reports that name it": { hasStartTime: true, report: "start" },
  "reports with an epoch only": { hasStartTime: true, report: "epoch" },
  "no start time, reports with an epoch": {
    hasStartTime: false,
    report: "epoch",
  },
};
const NAMED: Naming = { hasStartTime: true, report: "start" };
const UNNAMED: Naming = { hasStartTime: false, report: "none" };

/** A stream that was broken off, and what its caller has of it. */
interface BegunStream {
  id: string;
  prefix: string;
  versions: string[];
}

const cleanups: (() => Promise<void>)[] = [];
let nextId = 0;

afterEach(async () => {
  for (const clean of cleanups.splice(0)) await clean();
});

/** Starts two fronts and upstreams of one version. */
async function start({ hasStartTime, report }: Naming, path = new PathFault()) {
  const cluster = new TestCluster();
  cleanups.push(() => cluster.close());
  cluster.configure(ROUTES);
  await cluster.addTurnStores(3);
  const upstreams = new SoftwareUpstreams(cluster);
  for (const id of IDS) {
    const startedAt = hasStartTime ? STARTED_AT : 0;
    await upstreams.add(id, { softwareVersion: "v1", startedAt, report });
  }
  await cluster.addFront();
  const otherStore = new CutStore(cluster.store);
  await cluster.addFront({ dial: path.dial, store: otherStore });
  await cluster.waitUntilReady("/once/w", { "x-program": "w" });
  await useAll(cluster, upstreams);
  return { cluster, upstreams, otherStore };
}

/** Lets each front send a stream to each upstream. */
async function useAll(
  cluster: TestCluster,
  upstreams: SoftwareUpstreams,
): Promise<void> {
  for (const id of IDS) {
    upstreams.declining = new Set(IDS.filter((it) => it !== id));
    for (const front of cluster.fronts.keys()) {
      const headers = headersOf(`j${nextId++}`);
      const { body } = await cluster.call("/twice/w", { headers, front });
      expect(upstreamsIn(body)[0]).toEqual(id);
    }
  }
  upstreams.declining = new Set();
}

type Fixture = Awaited<ReturnType<typeof start>>;

function headersOf(id: string): Record<string, string> {
  return { "x-id": id, "x-program": `p-${id}` };
}

/** Begins a stream at the first front that is broken off. */
async function begin(
  { cluster, upstreams }: Fixture,
  prefix = "/once/",
): Promise<BegunStream> {
  const id = `j${nextId++}`;
  upstreams.onBreak = () => {};
  const result = await cluster.call(prefix + id, { headers: headersOf(id) });
  upstreams.onBreak = undefined;
  const versions = versionsIn(result.body);
  expect([result.isComplete, versions.length])
    .toEqual([false, EVENTS_BEFORE_BREAK]);
  return { id, prefix, versions };
}

/** Takes a stream up at the other front. */
function takeUp(
  { cluster }: Fixture,
  { id, prefix }: BegunStream,
): Promise<CallResult> {
  const headers = {
    ...headersOf(id),
    "x-id": `${id}-again`,
    "x-resumes": id,
    "last-event-id": String(EVENTS_BEFORE_BREAK),
  };
  return cluster.call(prefix + id, { headers, front: OTHER_FRONT });
}

async function beginAll(fixture: Fixture): Promise<BegunStream[]> {
  const begun = [];
  for (let i = 0; i < STREAMS; i++) begun.push(await begin(fixture));
  return begun;
}

/**
 * Takes streams up; returns how many were joined, and how many went on. With
 * `resets` no upstream is preferred for a connection that is open.
 */
async function takeUpAll(
  fixture: Fixture,
  begun: BegunStream[],
  { resets = false }: { resets?: boolean } = {},
) {
  let joined = 0;
  let wentOn = 0;
  for (const stream of begun) {
    if (resets) fixture.upstreams.resetAll();
    const { status, isComplete, body } = await takeUp(fixture, stream);
    const versions = new Set([...stream.versions, ...versionsIn(body)]);
    if (versions.size > 1) joined += 1;
    if (status === 200 && isComplete) wentOn += 1;
    else expect(status).toEqual(503);
  }
  return { joined, wentOn };
}

describe("a stream whose upstream comes back with another version", () => {
  for (const [name, naming] of Object.entries(NAMINGS)) {
    // Guards against the events of a process that a front takes for the one
    // that wrote the entry (ORDER).
    it(`goes on at its version while the store is down: ${name}`, async () => {
      const fixture = await start(naming);
      const begun = await beginAll(fixture);
      fixture.cluster.store.startOutage();
      for (const id of REPLACED) fixture.upstreams.restart(id, "v2");
      expect(await takeUpAll(fixture, begun, { resets: true }))
        .toEqual({ joined: 0, wentOn: STREAMS });
    });
  }

  // Guards against the same where nothing names a process (ORDER).
  it("is refused if nothing names the process that answers", async () => {
    const fixture = await start(UNNAMED);
    const begun = await beginAll(fixture);
    fixture.cluster.store.startOutage();
    for (const id of IDS) fixture.upstreams.restart(id, "v2");
    expect(await takeUpAll(fixture, begun)).toEqual({ joined: 0, wentOn: 0 });
  });

  // Guards against an entry that is read after the process answers (ORDER).
  it("goes on at its version before the new entry is written", async () => {
    const fixture = await start(NAMED);
    const begun = await beginAll(fixture);
    for (const id of REPLACED) fixture.upstreams.restart(id, "v2");
    expect(await takeUpAll(fixture, begun, { resets: true }))
      .toEqual({ joined: 0, wentOn: STREAMS });
  });

  // Guards against the rest of another version where none is left (ORDER).
  it("is refused if no process of its version is left", async () => {
    const fixture = await start(NAMED);
    const begun = await beginAll(fixture);
    fixture.cluster.store.startOutage();
    for (const id of IDS) fixture.upstreams.restart(id, "v2");
    expect(await takeUpAll(fixture, begun)).toEqual({ joined: 0, wentOn: 0 });
  });

  // Guards against a front that reaches upstreams through a sibling (ORDER).
  it("goes on at its version through a sibling", async () => {
    const path = new PathFault();
    const fixture = await start(NAMED, path);
    const begun = await beginAll(fixture);
    fixture.cluster.store.startOutage();
    for (const id of REPLACED) fixture.upstreams.restart(id, "v2");
    path.cut("refuse_new");
    const { joined, wentOn } = await takeUpAll(fixture, begun, {
      resets: true,
    });
    expect(joined).toEqual(0);
    expect(wentOn).toBeGreaterThanOrEqual(STREAMS / 2);
  });
});

describe("a stream that is taken up at a front that is out of step", () => {
  const cuts: StoreCut[] = ["refused", "silent"];
  for (const cut of cuts) {
    for (const [name, naming] of Object.entries(NAMINGS)) {
      // Guards against the list of a front that was cut off (ORDER).
      it(`goes on at its version when upstreams restart: ${cut}, ${name}`, async () => {
        const fixture = await start(naming);
        const { upstreams, otherStore } = fixture;
        const begun = await beginAll(fixture);
        otherStore.cut(cut);
        for (const id of REPLACED) upstreams.restart(id, "v2");
        const taken = takeUpAll(fixture, begun, { resets: true });
        for (const id of REPLACED) upstreams.publish(id);
        expect(await taken).toEqual({ joined: 0, wentOn: STREAMS });
      });
    }

    // Guards against the list of a front that was cut off (ORDER).
    it(`goes on at its version when others join: ${cut}`, async () => {
      const fixture = await start(NAMED);
      const { upstreams, otherStore } = fixture;
      const begun = await beginAll(fixture);
      otherStore.cut(cut);
      for (const id of ["b1", "b2"]) {
        const life = { softwareVersion: "v2", startedAt: STARTED_AT };
        await upstreams.add(id, life);
      }
      expect(await takeUpAll(fixture, begun))
        .toEqual({ joined: 0, wentOn: STREAMS });
    });
  }
});

describe("a stream that begins at a process with an unread entry", () => {
  // Guards against an origin that names the version before (ORDER).
  it("does not go on at the version before", async () => {
    const fixture = await start(NAMED);
    fixture.cluster.store.startOutage();
    for (const id of REPLACED) fixture.upstreams.restart(id, "v2");
    const begun = await beginAll(fixture);
    expect(begun.some((it) => it.versions.includes("v2"))).toEqual(true);
    const { joined } = await takeUpAll(fixture, begun);
    expect(joined).toEqual(0);
  });

  // Guards against a refusal of what could go on (LOST).
  it("goes on at the same process", async () => {
    const fixture = await start(NAMED);
    fixture.cluster.store.startOutage();
    for (const id of IDS) fixture.upstreams.restart(id, "v2");
    const begun = await beginAll(fixture);
    expect(await takeUpAll(fixture, begun))
      .toEqual({ joined: 0, wentOn: STREAMS });
  });
});

describe("a stream that a front resumes within one call", () => {
  for (const prefix of ["/twice/", "/kept/"]) {
    // Guards against a retry at a process that has just replaced one (ORDER).
    it(`goes on at its version: ${prefix}`, async () => {
      const fixture = await start(NAMED);
      const { cluster, upstreams } = fixture;
      cluster.store.startOutage();
      const result: CallResult[] = [];
      for (let i = 0; i < STREAMS; i++) {
        const id = `j${nextId++}`;
        upstreams.onBreak = () => {
          upstreams.onBreak = undefined;
          for (const it of IDS) {
            upstreams.restart(it, `v${i + 2}`);
          }
        };
        const headers = headersOf(id);
        result.push(await cluster.call(prefix + id, { headers }));
      }
      const versions = result.map((it) => new Set(versionsIn(it.body)).size);
      expect(versions).toEqual(result.map(() => 1));
    });
  }
});

describe("a stream whose upstreams live on", () => {
  for (const [name, naming] of Object.entries(NAMINGS)) {
    // Guards against a refusal of what could go on (LOST).
    it(`goes on while the store is down: ${name}`, async () => {
      const fixture = await start(naming);
      fixture.cluster.store.startOutage();
      const begun = await beginAll(fixture);
      expect(await takeUpAll(fixture, begun))
        .toEqual({ joined: 0, wentOn: STREAMS });
    });
  }

  for (const [name, naming] of Object.entries(NAMINGS)) {
    // Guards against a refusal of what could go on (LOST).
    it(`goes on after all its connections were reset: ${name}`, async () => {
      const fixture = await start(naming);
      const begun = await beginAll(fixture);
      fixture.cluster.store.startOutage();
      expect(await takeUpAll(fixture, begun, { resets: true }))
        .toEqual({ joined: 0, wentOn: STREAMS });
    });
  }

  // Guards against a refusal of what could go on (LOST).
  it("goes on in touch with the store where nothing names it", async () => {
    const fixture = await start(UNNAMED);
    const begun = await beginAll(fixture);
    expect(await takeUpAll(fixture, begun, { resets: true }))
      .toEqual({ joined: 0, wentOn: STREAMS });
  });

  // Guards against a stream that waits for a report in vain (LOST).
  it("goes on elsewhere if an upstream does not answer for itself", async () => {
    const fixture = await start(NAMED);
    const begun = await beginAll(fixture);
    for (const id of REPLACED) fixture.upstreams.setReport(id, "hang");
    expect(await takeUpAll(fixture, begun, { resets: true }))
      .toEqual({ joined: 0, wentOn: STREAMS });
  });

  // Guards against new streams that are refused for want of a report (LOST).
  it("begins also if no upstream answers for itself", async () => {
    const fixture = await start(NAMED);
    for (const id of IDS) {
      fixture.upstreams.setReport(id, "hang");
      fixture.upstreams.resetConnections(id);
    }
    const begun = await begin(fixture);
    expect(begun.versions).toEqual(["v1", "v1"]);
  });

  // Guards against a query for each stream.
  it("costs one query a connection", async () => {
    const fixture = await start(NAMED);
    const { cluster, upstreams } = fixture;
    for (let i = 0; i < STREAMS; i++) {
      const id = `j${nextId++}`;
      const headers = headersOf(id);
      const { status, body } = await cluster.call(`/once/${id}`, { headers });
      expect([status, upstreamsIn(body).length]).toEqual([200, 4]);
    }
    const limit = IDS.length * cluster.fronts.length;
    expect(upstreams.queries.length).toBeLessThanOrEqual(limit);
  });
});
