import { RawCaller, rawRequest } from "@toucantrestle/stand_ins";
import { createNoopMetrics } from "@toucantrestle/metrics";
import type { RoutingConfig } from "@toucantrestle/routing";
import { expect } from "earl";
import type { ServerResponse } from "node:http";
import { after, before, describe, it } from "node:test";
import { setTimeout as delay } from "node:timers/promises";
import {
  type ReceivedRequest,
  sendRequest,
  TestCluster,
  writeRaw,
} from "./test_cluster.ts";

const HEADER_TIMEOUT_MS = 300;
const BODY_LIMIT_BYTES = 100_000;
/** Time after which a caller's disconnection must have reached an upstream. */
const CANCEL_MS = 3_000;

const cluster = new TestCluster();
let version = 100;
let config: RoutingConfig;
let address: string;
let openRuns = 0;

before(async () => {
  cluster.configure([
    { prefix: "/once/", kind: "non_idempotent", maxRuns: 1, timeoutMs: 5_000 },
    { prefix: "/boom/", name: "boom" },
    { prefix: "/warm/" },
    { prefix: "/leaving/", kind: "non_idempotent", maxRuns: 1 },
  ]);
  await cluster.addUpstream("u", serve, { slots: 1_000 });
  const item = await cluster.store.get("config");
  config = JSON.parse(item?.value ?? "");
  config.limits.headerTimeoutMs = HEADER_TIMEOUT_MS;
  configure({});
  await cluster.addFront({ metrics: throwingMetrics() });
  await cluster.waitUntilReady("/warm/x");
  address = cluster.callerAddresses[0] ?? "";
});

after(() => cluster.close());

/** Answers after the ms in the path. */
async function serve({ path }: ReceivedRequest, res: ServerResponse) {
  const [, , kind, ms] = path.split("/");
  openRuns += 1;
  res.on("close", () => openRuns -= 1);
  if (kind === "never") return;
  await delay(Number(ms ?? 0));
  if (!kind?.endsWith("no_length")) return void res.end(`did ${path}`);
  const body = "x".repeat(kind === "no_length" ? 300_000 : 10);
  writeRaw(res, { delimiter: "close", body, isCut: false, ending: "close" });
}

/** Metrics that fail for the route `boom`. */
function throwingMetrics() {
  return {
    ...createNoopMetrics(),
    count(_name: string, _by?: number, labels?: Record<string, string>) {
      if (labels?.route === "boom") throw new Error("boom");
    },
  };
}

/** Stores a version of the configuration, without some of the routes. */
function configure(
  limits: Record<string, number>,
  removedPrefixes: string[] = [],
): void {
  cluster.store.put("config", {
    ...config,
    version: ++version,
    routes: config.routes.filter((it) => !removedPrefixes.includes(it.prefix)),
    limits: { ...config.limits, ...limits },
  });
}

/** Waits until responses announce this idle timeout. */
async function untilAnnounced(timeoutS: number): Promise<void> {
  while (true) {
    const caller = new RawCaller(address);
    caller.send(rawRequest("/warm/x"));
    await caller.untilAnswered(1);
    caller.socket.destroy();
    const value = caller.responses[0]?.headers.get("keep-alive");
    if (value === `timeout=${timeoutS}`) return;
    await delay(20);
  }
}

function runsOf(path: string): number {
  return cluster.received.filter((it) => it.path === path).length;
}

/** What follows a request on its connection, and the answer to it. */
const BAD_BYTES: Record<string, [bytes: string, status: number]> = {
  "garbage": ["garbage\r\n\r\n", 400],
  "a head that does not end": ["POST /once/b HTTP/1.1\r\nhost: x", 408],
  "a head that is too large": [
    `GET / HTTP/1.1\r\nhost: x\r\na: ${"a".repeat(70_000)}\r\n\r\n`,
    431,
  ],
  "a head above the limit in force": [
    rawRequest("/once/large_head", { headers: { a: "a".repeat(20_000) } }),
    431,
  ],
  "the request of a tunnel": ["CONNECT x:1 HTTP/1.1\r\nhost: x\r\n\r\n", 400],
  "a body that is too large": [
    rawRequest("/once/large_body", { body: "b".repeat(BODY_LIMIT_BYTES + 1) }),
    413,
  ],
  "a body in malformed chunks": [
    "POST /once/chunks HTTP/1.1\r\nhost: x.example\r\nx-id: c\r\n" +
    "transfer-encoding: chunked\r\n\r\nzz\r\n",
    400,
  ],
};

describe("a request that runs", () => {
  for (const [name, [bytes, status]] of Object.entries(BAD_BYTES)) {
    // Guards against answers that are lost by other bytes on the connection.
    it(`is answered before ${name}`, async () => {
      const path = `/once/${status}-${name.length}/900`;
      const caller = new RawCaller(address);
      const isEnded = status !== 408;
      const behind = isEnded ? rawRequest(`${path}/behind`) : "";
      caller.send(rawRequest(path) + bytes + behind);
      await caller.closed;
      expect(caller.statuses).toEqual([200, status]);
      expect([runsOf(path), runsOf(`${path}/behind`)]).toEqual([1, 0]);
    });
  }

  // Guards against an answer that is lost by a request behind the last one.
  it("is answered if its caller announces the end and goes on", async () => {
    const caller = new RawCaller(address);
    caller.send(
      rawRequest("/once/last/500", { headers: { connection: "close" } }) +
        rawRequest("/once/beyond"),
    );
    await caller.closed;
    expect(caller.statuses).toEqual([200]);
    expect(runsOf("/once/beyond")).toEqual(0);
  });

  // Guards against an answer that is lost by a request behind the last one.
  it("is answered to a caller of HTTP/1.0 that goes on", async () => {
    const caller = new RawCaller(address);
    caller.send(
      rawRequest("/once/older/500").replace("HTTP/1.1", "HTTP/1.0") +
        rawRequest("/once/older_beyond"),
    );
    await caller.closed;
    expect(caller.statuses).toEqual([200]);
    expect(runsOf("/once/older_beyond")).toEqual(0);
  });

  // Guards against answers that are lost by a change of the configuration.
  it("is answered, and read on, if the configuration changes", async () => {
    const [running, arriving] = [
      new RawCaller(address),
      new RawCaller(address),
    ];
    const request = rawRequest("/once/arriving", { body: "b".repeat(100) });
    running.send(rawRequest("/leaving/x/1000"));
    arriving.send(request.slice(0, -50));
    while (runsOf("/leaving/x/1000") === 0) await delay(5);
    configure({ idleTimeoutMs: 500, headerTimeoutMs: 100 }, ["/leaving/"]);
    await untilAnnounced(1);
    await delay(500);
    arriving.send(request.slice(-50));
    await Promise.all([running, arriving].map((it) => it.untilAnswered(1)));
    expect([running, arriving].map((it) => it.statuses)).toEqual([[200], [
      200,
    ]]);
    configure({ idleTimeoutMs: 5_000 });
    await untilAnnounced(6);
  });

  for (const kind of ["no_length", "short_no_length"]) {
    // Guards against an answer that is lost by one without a length before it,
    // and against a mark of its end that its upstream has not given.
    it(`is answered behind a response that cannot end: ${kind}`, async () => {
      const caller = new RawCaller(address);
      caller.send(
        rawRequest(`/once/${kind}/200`) + rawRequest("/once/behind/10"),
      );
      await caller.untilAnswered(2);
      expect(caller.statuses).toEqual([502, 200]);
      caller.socket.destroy();
    });
  }

  // Guards against requests that run although their connection ends before.
  it("is no request that arrives behind an announced end", async () => {
    const caller = new RawCaller(address);
    caller.send(rawRequest("/once/no_length/10"));
    while (caller.responses.length === 0) await delay(5);
    caller.send(rawRequest("/once/too_late/10"));
    await caller.closed;
    expect(caller.statuses).toEqual([200]);
    expect(runsOf("/once/too_late")).toEqual(0);
  });

  // Guards against answers that are lost by an internal error of another.
  it("is answered after a request that fails internally", async () => {
    const caller = new RawCaller(address);
    caller.send(
      rawRequest("/once/first/300") + rawRequest("/boom/x") +
        rawRequest("/once/third/300"),
    );
    await caller.untilAnswered(3);
    expect(caller.statuses).toEqual([200, 500, 200]);
    caller.socket.destroy();
  });

  // Guards against work for callers that have left.
  it("ends when its caller leaves, also behind another one", async () => {
    await untilNoRuns();
    const caller = new RawCaller(address);
    caller.send(rawRequest("/once/never").repeat(3));
    while (openRuns < 3) await delay(5);
    caller.socket.destroy();
    expect(await untilNoRuns()).toEqual(true);
  });
});

/** Waits until nothing runs; returns false if that takes too long. */
async function untilNoRuns(): Promise<boolean> {
  const until = performance.now() + CANCEL_MS;
  while (openRuns > 0 && performance.now() < until) await delay(10);
  return openRuns === 0;
}

describe("a connection that is idle", () => {
  // Guards against callers that reuse a connection by the limit in force.
  it("outlives its timeout if a higher one comes into force", async () => {
    configure({ idleTimeoutMs: 500 });
    await untilAnnounced(1);
    const caller = new RawCaller(address);
    caller.send(rawRequest("/warm/x"));
    await caller.untilAnswered(1);
    configure({ idleTimeoutMs: 5_000 });
    await untilAnnounced(6);
    await delay(3_000);
    caller.send(rawRequest("/warm/x"));
    await caller.untilAnswered(2);
    expect(caller.statuses).toEqual([200, 200]);
  });

  // Guards against callers that rely on the timeout that was announced.
  it("stays open for the announced time if a lower one is in force", async () => {
    configure({ idleTimeoutMs: 5_000 });
    await untilAnnounced(6);
    const caller = new RawCaller(address);
    caller.send(rawRequest("/once/lowered/2000"));
    await delay(100);
    configure({ idleTimeoutMs: 500 });
    await untilAnnounced(1);
    await caller.untilAnswered(1);
    await delay(3_000);
    caller.send(rawRequest("/warm/x"));
    await caller.untilAnswered(2);
    expect(caller.statuses).toEqual([200, 200]);
  });
});

describe("an ordinary request", () => {
  // Guards against changed headers of callers that send one at a time.
  it("is answered with the headers it was always answered with", async () => {
    configure({ idleTimeoutMs: 5_000 });
    await untilAnnounced(6);
    const headers = { "x-id": "ordinary", connection: "keep-alive" };
    const result = await sendRequest(address, "/warm/x", { headers });
    expect(result.headers.connection).toEqual("keep-alive");
    expect(result.headers["keep-alive"]).toEqual("timeout=6");
  });
});
