import type { OrganisationEntry } from "@toucantrestle/organisations";
import { expect } from "earl";
import type { ServerResponse } from "node:http";
import { after, before, beforeEach, describe, it } from "node:test";
import { setTimeout as delay } from "node:timers/promises";
import { PathFault } from "./path_fault.ts";
import {
  type CallResult,
  type ReceivedRequest,
  TestCluster,
} from "./test_cluster.ts";

const cluster = new TestCluster();
/** Way of the third front to the upstreams. */
const path = new PathFault();
/** Whether upstreams break off the streams that they begin. */
let breaksOff = false;
let nextId = 0;

const routes = [
  { prefix: "/plain/", isPublic: true },
  { prefix: "/kept/", kind: "streaming", keepsTurns: true, maxRuns: 1 },
  { prefix: "/open/", kind: "streaming", keepsTurns: true, isPublic: true },
  { prefix: "/again/", kind: "streaming", isResumable: true, maxRuns: 1 },
] as const;
const organisations: OrganisationEntry[] = [
  { name: "a", keys: ["key-a"] },
  { name: "b", keys: ["key-b"] },
];

before(async () => {
  cluster.configure([...routes], { organisations });
  await cluster.addTurnStores(3);
  for (const id of ["u1", "u2"]) await cluster.addUpstream(id, serve);
  await cluster.addFront();
  await cluster.addFront();
  await cluster.addFront({ dial: path.dial });
  await waitUntilReady();
});

after(() => cluster.close());

beforeEach(() => {
  cluster.received.length = 0;
});

async function waitUntilReady(): Promise<void> {
  await cluster.waitUntilReady("/kept/x", headersOf("a", { program: "w" }));
}

function serve(received: ReceivedRequest, res: ServerResponse): void {
  if (received.path.startsWith("/plain/")) return void res.end("done");
  res.writeHead(200, { "content-type": "text/event-stream" });
  const last = Number(received.headers["last-event-id"] ?? 0);
  for (let i = last + 1; i <= 2; i++) {
    res.write(`id: ${i}\ndata: of ${received.body}\n\n`);
    if (breaksOff) return void setTimeout(() => res.socket?.destroy(), 10);
  }
  res.end();
}

function headersOf(
  key: string | undefined,
  opts: { program?: string; budget?: number } = {},
): Record<string, string> {
  const { program = `p${nextId++}`, budget = 1_000 } = opts;
  return {
    ...(key === undefined ? {} : { "x-key": `key-${key}` }),
    "x-program": program,
    "x-budget": String(budget),
    "x-prompt-tokens": "10",
    "x-max-output": "5",
  };
}

/** Sends a turn of an organisation; `key` is undefined for none. */
function send(
  key: string | undefined,
  opts: {
    id?: string;
    previous?: string;
    path?: string;
    front?: number;
    body?: string;
    headers?: Record<string, string>;
  } = {},
): Promise<CallResult> {
  const { id = `t${nextId++}`, previous, body = "text", front } = opts;
  return cluster.call(opts.path ?? "/kept/x", {
    front,
    body,
    headers: {
      ...headersOf(key),
      "x-id": id,
      ...(previous === undefined ? {} : { "x-previous": previous }),
      ...opts.headers,
    },
  });
}

/** What a caller can tell apart in a response. */
function visible({ status, body, headers }: CallResult) {
  return { status, body, names: Object.keys(headers).sort() };
}

/** Expects that another organisation's turn looks like an unknown one. */
async function expectHidden(id: string, front: number): Promise<void> {
  cluster.received.length = 0;
  const foreign = await send("b", { previous: id, front });
  const unknown = await send("b", { previous: "no-such-turn", front });
  expect(visible(foreign)).toEqual(visible(unknown));
  expect([foreign.status, foreign.body]).toEqual([
    404,
    "previous turn does not exist\n",
  ]);
  expect(cluster.received).toEqual([]);
}

async function createTurn(key: string | undefined, path?: string) {
  const id = `t${nextId++}`;
  const { status } = await send(key, { id, path, body: "first" });
  expect(status).toEqual(200);
  return id;
}

// Guards against an organisation that reads the prompts of another.
describe("a turn of another organisation", () => {
  it("does not exist at any front, and does for its owner", async () => {
    const id = await createTurn("a");
    for (const front of [0, 1, 2]) await expectHidden(id, front);
    for (const front of [0, 1, 2]) {
      expect((await send("a", { previous: id, front })).status).toEqual(200);
    }
    expect(cluster.received.at(-1)?.body.startsWith("first")).toEqual(true);
  });

  it("does not exist on the way through a sibling", async () => {
    const id = await createTurn("a");
    path.cut("reset");
    expect((await send("a", { previous: id, front: 2 })).status).toEqual(200);
    await expectHidden(id, 2);
    path.heal();
  });

  it("does not exist after a restart of front and turn stores", async () => {
    const id = await createTurn("a");
    cluster.fronts[1]?.close();
    await cluster.restartTurnStores();
    await cluster.addFront();
    cluster.callerAddresses.splice(1, 1);
    await waitUntilReady();
    const newest = cluster.callerAddresses.length - 1;
    await expectHidden(id, newest);
    const result = await send("a", { previous: id, front: newest });
    expect(result.status).toEqual(200);
  });

  it("does not exist for callers of a public route", async () => {
    const id = await createTurn("a");
    const result = await send("a", { previous: id, path: "/open/x" });
    expect(result.status).toEqual(404);
    const open = await createTurn(undefined, "/open/x");
    const own = await send(undefined, { previous: open, path: "/open/x" });
    expect(own.status).toEqual(200);
    expect((await send("a", { previous: open })).status).toEqual(404);
  });

  it("may have the same request id", async () => {
    const id = `same${nextId++}`;
    await send("a", { id, body: "of a" });
    await send("b", { id, body: "of b" });
    cluster.received.length = 0;
    await send("a", { previous: id });
    await send("b", { previous: id, front: 1 });
    expect(cluster.received.map((it) => it.body.slice(0, 4))).toEqual([
      "of a",
      "of b",
    ]);
  });
});

describe("a program id that two organisations use", () => {
  // Guards against an organisation that spends the budget of another.
  it("has a budget for each", async () => {
    const headers = headersOf("a", { program: `shared${nextId++}`, budget: 5 });
    const sendTwice = async (key: string) => {
      const own = { ...headers, "x-key": `key-${key}` };
      const first = await send(key, { headers: own });
      const second = await send(key, { headers: own, front: 1 });
      return [first.status, second.status];
    };
    expect(await sendTwice("a")).toEqual([200, 402]);
    expect(await sendTwice("b")).toEqual([200, 402]);
  });
});

describe("a stream of another organisation", () => {
  for (const isNamed of [true, false]) {
    const way = isNamed ? "by its request id" : "by its program";
    // Guards against a stream that is resumed with another's origin.
    it(`cannot be resumed ${way}`, async () => {
      const id = `s${nextId++}`;
      const headers = headersOf("a");
      breaksOff = true;
      await send("a", { id, path: "/again/x", headers });
      breaksOff = false;
      const resume = (key: string, named: string, program: string) =>
        send(key, {
          path: "/again/x",
          front: 1,
          headers: {
            ...headers,
            "x-key": `key-${key}`,
            "x-program": program,
            "last-event-id": "1",
            ...(isNamed ? { "x-resumes": named } : {}),
          },
        });
      const program = String(headers["x-program"]);
      cluster.received.length = 0;
      const foreign = await resume("b", id, program);
      const unknown = await resume("b", "no-such-stream", "no-such-program");
      expect(foreign.status).toEqual(503);
      expect(visible(foreign)).toEqual(visible(unknown));
      expect(cluster.received).toEqual([]);
      const own = await resume("a", id, program);
      expect([own.status, own.body]).toEqual([200, "id: 2\ndata: of text\n\n"]);
    });
  }
});

describe("a turn from before organisations were configured", () => {
  it("belongs to no organisation", async () => {
    cluster.configure([...routes]);
    await waitForKeyless(200);
    const id = await createTurn(undefined);
    expect((await send(undefined, { previous: id })).status).toEqual(200);
    cluster.configure([...routes], { organisations });
    await waitForKeyless(401);
    await expectHidden(id, 0);
    expect((await send("a", { previous: id })).status).toEqual(404);
  });
});

/** Waits until all fronts answer a request without a key with a status. */
async function waitForKeyless(status: number): Promise<void> {
  for (const [front] of cluster.callerAddresses.entries()) {
    while ((await send(undefined, { front })).status !== status) {
      await delay(20);
    }
  }
}
