import { MemoryStore } from "@toucantrestle/config_store";
import { createLoggers } from "@toucantrestle/log";
import { createPrometheusMetrics } from "@toucantrestle/metrics";
import type { OrganisationEntry } from "@toucantrestle/organisations";
import { expect } from "earl";
import { Agent, request, type ServerResponse } from "node:http";
import { after, before, beforeEach, describe, it } from "node:test";
import { setTimeout as delay } from "node:timers/promises";
import { PathFault } from "./path_fault.ts";
import { type ReceivedRequest, TestCluster } from "./test_cluster.ts";
import { testProtocol } from "./test_protocol.ts";

const KEY_A = "key-of-a-very-secret";
const KEY_B = "key-of-b-very-secret";
const UNKNOWN = "unknown-but-secret";
/** Time from a change in the store until it is in force at all fronts. */
const APPLY_MS = 3_000;

const lines: string[] = [];
const metrics = createPrometheusMetrics();
const cluster = new TestCluster({
  loggers: createLoggers({
    host: "test",
    format: "json",
    level: "debug",
    sink: { write: (line) => lines.push(line), writableLength: 0 },
  }),
});
/** Way of the second front to the upstreams. */
const path = new PathFault();
/** Store of the last front, which gets the configuration from siblings only. */
const cutStore = new MemoryStore();
/** Upstream that breaks off the next stream that it begins. */
let breaksOff = false;

const routes = [
  { prefix: "/plain/" },
  { prefix: "/open/", isPublic: true },
  { prefix: "/turn/", kind: "streaming", rank: 4 },
  { prefix: "/again/", kind: "streaming", isResumable: true, maxRuns: 3 },
] as const;
const a: OrganisationEntry = { name: "a", keys: [KEY_A], rank: 1 };
const b: OrganisationEntry = { name: "b", keys: [KEY_B] };
const both = [a, b];

before(async () => {
  cluster.configure([...routes], { organisations: both });
  await cluster.addTurnStores(3);
  for (const id of ["u1", "u2"]) {
    const entry = await cluster.addUpstream(id, serve);
    cutStore.put(testProtocol.upstreamPrefix + id, entry);
  }
  await cluster.addFront({ metrics });
  await cluster.addFront({ metrics, dial: path.dial });
  await cluster.addFront({ metrics, store: cutStore });
  await cluster.waitUntilReady("/again/x", {
    ...TURN_HEADERS,
    "x-key": KEY_A,
  });
  cutStore.startOutage();
});

after(() => cluster.close());

beforeEach(() => {
  cluster.received.length = 0;
});

function serve(received: ReceivedRequest, res: ServerResponse) {
  if (!/turn|again/.test(received.path)) return res.end("done");
  res.writeHead(200, { "content-type": "text/event-stream" });
  if (!received.headers["last-event-id"]) res.write("id: 1\ndata: one\n\n");
  if (!breaksOff) return res.end("id: 2\ndata: two\n\n");
  breaksOff = false;
  setTimeout(() => res.socket?.destroy(), 20);
}

const TURN_HEADERS = {
  "x-program": "p",
  "x-budget": "1000",
  "x-prompt-tokens": "10",
  "x-max-output": "5",
};

let nextId = 0;
function call(
  path: string,
  { front = 0, headers = {} }: {
    front?: number;
    headers?: Record<string, string>;
  } = {},
) {
  const id = `c${nextId++}`;
  return cluster.call(path, { front, headers: { "x-id": id, ...headers } });
}

function identityOf({ headers }: ReceivedRequest) {
  return [headers["x-key"], headers["x-organisation"]];
}

/** Waits until a front answers a key with a status; returns the time in ms. */
async function waitForStatus(status: number, key: string, front: number) {
  const startedAt = performance.now();
  while (performance.now() - startedAt < 2 * APPLY_MS) {
    const result = await call("/plain/x", { front, headers: { "x-key": key } });
    if (result.status === status) break;
    await delay(20);
  }
  return performance.now() - startedAt;
}

describe("a request when organisations are configured", () => {
  // Guards against requests that run without a key.
  it("is refused with 401 if its key is missing or unknown", async () => {
    const refused: [string, Record<string, string>][] = [
      ["/plain/x", {}],
      ["/plain/x", { "x-key": UNKNOWN }],
      ["/plain/x", { "x-key": "" }],
      ["/turn/x", { "x-key": `${KEY_A} ` + "x", "x-organisation": "a" }],
      ["/nowhere/x", {}],
    ];
    for (const [path, headers] of refused) {
      const { status, body, headers: answer } = await call(path, { headers });
      expect([status, body]).toEqual([401, "api key is missing or unknown\n"]);
      expect(answer["www-authenticate"]).toEqual("Bearer");
    }
    const known = await call("/nowhere/x", { headers: { "x-key": KEY_A } });
    expect(known.status).toEqual(404);
    expect(cluster.received).toEqual([]);
  });

  // Guards against an organisation that the caller claims to be.
  it("reaches the upstream with its organisation and without its key", async () => {
    const key = { "x-key": KEY_A };
    await call("/plain/x", { headers: key });
    for (const claim of ["b", "a", ""]) {
      await call("/plain/x", { headers: { ...key, "x-organisation": claim } });
    }
    await call("/plain/x", {
      headers: { "x-key": KEY_B, "X-Organisation": "a", connection: "x-id2" },
    });
    expect(cluster.received.map(identityOf)).toEqual([
      ...Array(4).fill([undefined, "a"]),
      [undefined, "b"],
    ]);
  });

  it("has its organisation's rank, or else that of its route", async () => {
    for (const key of [KEY_A, KEY_B]) {
      await call("/turn/x", { headers: { "x-key": key } });
    }
    const urgencies = cluster.received.map((it) => it.headers["x-urgency"]);
    expect(urgencies).toEqual(["4", "7"]);
  });

  it("reaches the upstream of a public route without either", async () => {
    for (const key of [KEY_A, UNKNOWN]) {
      const headers = { "x-key": key, "x-organisation": "a" };
      expect((await call("/open/x", { headers })).status).toEqual(200);
    }
    expect((await call("/open/x")).status).toEqual(200);
    expect(cluster.received.map(identityOf)).toEqual(
      Array(3).fill([undefined, undefined]),
    );
  });

  // Guards against a key that is forwarded by the second attempt only.
  it("has the same headers when a front resumes its stream", async () => {
    breaksOff = true;
    const headers = {
      ...TURN_HEADERS,
      "x-key": KEY_A,
      "x-organisation": "b",
    };
    const { body } = await call("/again/x", { headers });
    expect(body).toEqual(
      "id: 1\ndata: one\n\nid: 2\ndata: two\n\n",
    );
    expect(cluster.received.map(identityOf)).toEqual(
      Array(2).fill([undefined, "a"]),
    );
  });
});

describe("a request through a sibling", () => {
  // Guards against a key that only the relayed request carries.
  it("has the same headers", async () => {
    path.cut("reset");
    const headers = { "x-key": KEY_B, "x-organisation": "a" };
    const results = [];
    for (let i = 0; i < 6; i++) {
      results.push(await call("/plain/x", { front: 1, headers }));
    }
    path.heal();
    expect(results.map((it) => it.status)).toEqual(Array(6).fill(200));
    expect(cluster.received.map(identityOf)).toEqual(
      Array(cluster.received.length).fill([undefined, "b"]),
    );
  });
});

describe("a change of keys", () => {
  const fronts = [0, 1, 2];

  it("is in force in time at all fronts, also one cut from the store", async () => {
    const added = "key-that-is-added";
    for (const front of fronts) {
      const { status } = await call("/plain/x", {
        front,
        headers: { "x-key": added },
      });
      expect(status).toEqual(401);
    }
    cluster.configure([...routes], {
      organisations: [
        { name: "a", keys: [added] },
        both[1],
      ] as const as OrganisationEntry[],
    });
    const waits = await Promise.all(fronts.flatMap((front) => [
      waitForStatus(200, added, front),
      waitForStatus(401, KEY_A, front),
    ]));
    cluster.configure([...routes], { organisations: both });
    waits.push(
      ...await Promise.all(
        fronts.map((front) => waitForStatus(200, KEY_A, front)),
      ),
    );
    expect(Math.max(...waits)).toBeLessThan(APPLY_MS);
  });

  // Guards against a check that is made once per connection.
  it("is in force on connections that are open", async () => {
    const agent = new Agent({ keepAlive: true, maxSockets: 1 });
    const ports = new Set<number | undefined>();
    const statuses = [await callOver(agent, ports)];
    cluster.configure([...routes], { organisations: [b] });
    await waitForStatus(401, KEY_A, 0);
    statuses.push(await callOver(agent, ports));
    cluster.configure([...routes], { organisations: both });
    await waitForStatus(200, KEY_A, 0);
    statuses.push(await callOver(agent, ports));
    agent.destroy();
    expect(statuses).toEqual([200, 401, 200]);
    expect(ports.size).toEqual(1);
  });

  it("is in force for a request whose body is still arriving", async () => {
    const [host, port] = String(cluster.callerAddresses[0]).split(":");
    const headers = { host: "x.example", "x-id": "late", "x-key": KEY_A };
    const req = request({
      host,
      port,
      path: "/plain/x",
      method: "POST",
      headers,
    });
    req.write("first part");
    await delay(50);
    cluster.configure([...routes], { organisations: [b] });
    await waitForStatus(401, KEY_A, 0);
    const status = new Promise((resolve) =>
      req.on("response", (res) => resolve(res.resume().statusCode))
    );
    req.end("rest");
    expect(await status).toEqual(401);
    cluster.configure([...routes], { organisations: both });
    await waitForStatus(200, KEY_A, 0);
  });
});

/** Sends a request over the connection of an agent. */
function callOver(agent: Agent, ports: Set<number | undefined>) {
  const [host, port] = String(cluster.callerAddresses[0]).split(":");
  const headers = { host: "x.example", "x-id": `o${nextId++}`, "x-key": KEY_A };
  return new Promise((resolve, reject) => {
    const req = request({ host, port, path: "/plain/x", headers, agent });
    req.on("socket", (it) => it.on("connect", () => ports.add(it.localPort)));
    req.on("error", reject);
    req.on("response", (res) => {
      res.resume().on("end", () => resolve(res.statusCode));
    });
    req.end();
  });
}

describe("a front without a configuration", () => {
  // Guards against callers who discard a valid key because of a restart.
  it("answers 503, not 401", async () => {
    const empty = new TestCluster();
    await empty.addFront();
    for (const key of [KEY_A, UNKNOWN]) {
      const { status } = await empty.call("/plain/x", {
        headers: { "x-id": "n", "x-key": key },
      });
      expect(status).toEqual(503);
    }
    await empty.close();
  });
});

describe("a front whose configuration has no organisations", () => {
  it("forwards key and organisation as they are", async () => {
    cluster.configure([...routes]);
    await waitForStatus(200, UNKNOWN, 0);
    cluster.received.length = 0;
    const headers = { "x-key": UNKNOWN, "x-organisation": "a" };
    await call("/plain/x", { headers });
    expect(cluster.received.map(identityOf)).toEqual([[UNKNOWN, "a"]]);
    cluster.configure([...routes], { organisations: both });
    await waitForStatus(401, UNKNOWN, 0);
  });
});

describe("logs and metrics", () => {
  it("name organisations and digests of refused keys", () => {
    const events = lines.map((it) => JSON.parse(it));
    const refused = events.filter((it) => it.event === "key_refused");
    expect(refused.length).toBeGreaterThan(0);
    expect(refused.map((it) => it.keyDigest)).toInclude("none");
    expect(refused.every((it) => /^(none|[0-9a-f]{8})$/.test(it.keyDigest)))
      .toEqual(true);
    const answered = events.filter((it) => it.event === "answered");
    expect(answered.some((it) => it.organisation === "a")).toEqual(true);
  });

  it("limit the lines about refused keys", async () => {
    const before = lines.filter((it) => it.includes("key_refused")).length;
    await Promise.all(Array.from({ length: 60 }, () => call("/plain/x")));
    const now = lines.filter((it) => it.includes("key_refused")).length;
    expect(now - before).toBeLessThanOrEqual(10);
    expect(await metrics.text()).toEqual(expect.regex(/keys_refused \d+/));
  });

  it("contain no key, also of an invalid configuration", async () => {
    const twice = [a, { name: "c", keys: [KEY_A] }];
    cluster.configure([...routes], { organisations: twice });
    expect((await call("/plain/x", { headers: { "x-key": KEY_A } })).status)
      .toEqual(200);
    const output = lines.join("") + await metrics.text();
    for (const key of [KEY_A, KEY_B, UNKNOWN, "key-that-is-added"]) {
      expect(output.includes(key)).toEqual(false);
    }
    const rejections = lines.filter((it) =>
      it.includes("have a key in common")
    );
    expect(rejections.length).toBeGreaterThan(0);
  });
});
