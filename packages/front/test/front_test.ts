import { expect } from "earl";
import { after, before, beforeEach, describe, it } from "node:test";
import type { ServerResponse } from "node:http";
import {
  type ReceivedRequest,
  respondWithEvents,
  sendRequest,
  TestCluster,
  type UpstreamHandler,
} from "./test_cluster.ts";

const cluster = new TestCluster();
let handler: UpstreamHandler;

const TURN_HEADERS = { "x-prompt-tokens": "10", "x-max-output": "5" };

before(async () => {
  cluster.configure([
    { prefix: "/plain/" },
    { prefix: "/once/", kind: "non_idempotent", maxRuns: 1 },
    { prefix: "/slow/", kind: "non_idempotent", timeoutMs: 300 },
    { prefix: "/again/", kind: "streaming", isResumable: true, maxRuns: 2 },
    { prefix: "/single/", kind: "streaming", isResumable: true, maxRuns: 1 },
    { prefix: "/kept/", kind: "streaming", keepsTurns: true, maxRuns: 1 },
  ]);
  await cluster.addTurnStores(3);
  await cluster.addUpstream("u1", (received, res) => handler(received, res));
  await cluster.addUpstream("u2", (received, res) => handler(received, res));
  await cluster.addFront();
  await cluster.addFront();
  handler = respondWithEvents("a");
  await cluster.waitUntilReady("/kept/x", {
    ...TURN_HEADERS,
    "x-program": "w",
    "x-budget": "99",
  });
});

after(() => cluster.close());

beforeEach(() => {
  cluster.received.length = 0;
  handler = (received, res) => res.end(`did ${received.id}`);
});

describe("a plain request", () => {
  it("is forwarded unchanged to one upstream, and its response returned", async () => {
    const result = await cluster.call("/plain/a?b=c", {
      headers: { "x-id": "q1", "x-own": "1", "x-upstream": "forged" },
      body: "hello",
    });
    expect(result.status).toEqual(200);
    expect(result.body).toEqual("did q1");
    expect(cluster.received.length).toEqual(1);
    const received = cluster.received[0]!;
    expect([received.path, received.body]).toEqual(["/plain/a?b=c", "hello"]);
    expect(received.headers["x-own"]).toEqual("1");
    expect(received.headers["x-upstream"] === "forged").toEqual(false);
  });

  it("gets status 404 without a route and 400 without an id", async () => {
    const unknown = await cluster.call("/none/", { headers: { "x-id": "q2" } });
    expect(unknown.status).toEqual(404);
    expect((await cluster.call("/plain/")).status).toEqual(400);
  });

  it("gets status 413 when its body is too large", async () => {
    const result = await cluster.call("/plain/", {
      headers: { "x-id": "q3" },
      body: "x".repeat(200_000),
    });
    expect(result.status).toEqual(413);
    expect(cluster.received).toEqual([]);
  });

  it("is retried on another upstream when the connection is lost", async () => {
    let calls = 0;
    handler = (_received, res) => {
      calls += 1;
      if (calls === 1) res.socket?.destroy();
      else res.end("second");
    };
    const result = await cluster.call("/plain/", { headers: { "x-id": "q4" } });
    expect([result.status, result.body]).toEqual([200, "second"]);
    expect(cluster.received[0]!.headers["x-upstream"])
      .not.toEqual(cluster.received[1]!.headers["x-upstream"]);
  });
});

describe("a response that does not come from the upstream", () => {
  it("is not forwarded when it is successful without the upstream's mark", async () => {
    handler = (_received, res) => {
      res.removeHeader("x-mark");
      res.end("forged");
    };
    const result = await cluster.call("/once/", { headers: { "x-id": "f1" } });
    expect(result.status).toEqual(502);
    expect(result.body.includes("forged")).toEqual(false);
  });

  it("is not forwarded when an unconfirmed 503 implies that nothing ran", async () => {
    handler = (_received, res) => {
      res.writeHead(503);
      res.end("busy");
    };
    const result = await cluster.call("/once/", { headers: { "x-id": "f2" } });
    expect(result.status).toEqual(502);
  });
});

describe("a resumable stream", () => {
  /** Sends two of four events and disconnects, or resumes with the rest. */
  const disconnectAfterTwo =
    (onDisconnect: (upstream: string) => void) =>
    (received: ReceivedRequest, res: ServerResponse) => {
      const lastEventId = Number(received.headers["last-event-id"] ?? 0);
      res.writeHead(200, { "content-type": "text/event-stream" });
      for (let i = lastEventId + 1; i <= 4; i++) {
        res.write(`id: ${i}\ndata: e${i}\n\n`);
        if (lastEventId > 0 || i < 2) continue;
        res.write("id: 3\nda");
        const upstream = String(received.headers["x-upstream"]);
        setTimeout(() => onDisconnect(upstream), 20);
        setTimeout(() => res.socket?.destroy(), 20);
        return;
      }
      res.end();
    };
  const allEvents = [1, 2, 3, 4].map((i) => `id: ${i}\ndata: e${i}\n\n`).join(
    "",
  );

  it("resumes on another upstream after its last complete event", async () => {
    handler = disconnectAfterTwo(() => {});
    const result = await cluster.call("/again/", { headers: { "x-id": "r1" } });
    expect([result.body, result.isComplete]).toEqual([allEvents, true]);
    expect(result.headers["x-mark"]).toEqual(
      cluster.received[0]!.headers["x-upstream"],
    );
    expect(cluster.received.length).toEqual(2);
    expect(cluster.received[1]!.headers["last-event-id"]).toEqual("2");
  });

  it("is aborted when its only run fails and its upstream is alive", async () => {
    handler = disconnectAfterTwo(() => {});
    const result = await cluster.call("/single/", {
      headers: { "x-id": "r2" },
    });
    expect(result.isComplete).toEqual(false);
    expect(cluster.received.length).toEqual(1);
  });

  it("is aborted when the next upstream restarts from the first event", async () => {
    let calls = 0;
    handler = (received, res) => {
      calls += 1;
      if (calls === 1) disconnectAfterTwo(() => {})(received, res);
      else respondWithEvents("e1", "e2", "e3", "e4")(received, res);
    };
    const result = await cluster.call("/again/", { headers: { "x-id": "r3" } });
    expect(result.isComplete).toEqual(false);
    expect(result.body).toEqual(allEvents.slice(0, allEvents.indexOf("id: 3")));
  });

  it("resumes in spite of a limit of one run when its upstream has crashed", async () => {
    await cluster.addUpstream("u3", (received, res) => handler(received, res));
    handler = (received, res) => {
      const isThird = received.headers["x-upstream"] === "u3";
      const isResumed = received.headers["last-event-id"] !== undefined;
      if (isThird || isResumed) {
        disconnectAfterTwo((it) => cluster.crashUpstream(it))(received, res);
        return;
      }
      res.writeHead(503, { "x-not-run": "1" });
      res.end();
    };
    // The other upstreams decline the initial request, but resume the stream.
    await waitFor(async () => {
      const result = await cluster.call("/single/", {
        headers: { "x-id": "r4" },
      });
      return result.status === 200 && result.isComplete &&
        result.body === allEvents;
    });
    const runs = cluster.received.slice(-2).map((it) =>
      it.headers["x-upstream"]
    );
    expect(runs[0]).toEqual("u3");
    expect(runs[1]).not.toEqual("u3");
  });
});

describe("a non-idempotent request", () => {
  it("is not retried when its response is lost", async () => {
    handler = (_received, res) => res.socket?.destroy();
    const result = await cluster.call("/once/", { headers: { "x-id": "n1" } });
    expect(result.status).toEqual(502);
    expect(cluster.received.length).toEqual(1);
  });

  it("is retried on another upstream when one declined it", async () => {
    let calls = 0;
    handler = (_received, res) => {
      calls += 1;
      if (calls > 1) return res.end("ran");
      res.writeHead(503, { "x-not-run": "1" });
      res.end();
    };
    const result = await cluster.call("/once/", { headers: { "x-id": "n2" } });
    expect([result.status, result.body]).toEqual([200, "ran"]);
  });

  it("is refused with retry-after when all upstreams declined it", async () => {
    handler = (_received, res) => {
      res.writeHead(503, { "x-not-run": "1" });
      res.end();
    };
    const result = await cluster.call("/once/", { headers: { "x-id": "n3" } });
    expect(result.status).toEqual(503);
    expect(Number(result.headers["retry-after"]) > 0).toEqual(true);
  });

  it("gets status 504 at the route's timeout, and its upstream is cancelled", async () => {
    let isClosed = false;
    handler = (_received, res) => {
      res.on("close", () => isClosed = true);
    };
    const startedAt = Date.now();
    const result = await cluster.call("/slow/", { headers: { "x-id": "n4" } });
    const ms = Date.now() - startedAt;
    expect(result.status).toEqual(504);
    expect(ms >= 290 && ms < 600).toEqual(true);
    await new Promise((resolve) => setTimeout(resolve, 50));
    expect(isClosed).toEqual(true);
  });
});

describe("a turn", () => {
  function turn(id: string, opts: Record<string, string> = {}, front = 0) {
    return cluster.call("/kept/x", {
      headers: { ...TURN_HEADERS, "x-id": id, "x-program": "p", ...opts },
      body: `in-${id};`,
      front,
    });
  }

  it("continues the previous turns on any front", async () => {
    handler = respondWithEvents("one", "two");
    await turn("t1");
    await turn("t2", { "x-previous": "t1" }, 1);
    await turn("t3", { "x-previous": "t2" }, 0);
    expect(cluster.received.map((it) => it.body)).toEqual([
      "in-t1;",
      "in-t1;one\ntwo\nin-t2;",
      "in-t1;one\ntwo\nin-t2;one\ntwo\nin-t3;",
    ]);
  });

  it("gets status 404 when the previous turn does not exist", async () => {
    const result = await turn("t4", { "x-previous": "nothing" });
    expect(result.status).toEqual(404);
    expect(cluster.received).toEqual([]);
  });

  it("gets status 402 on any front once the budget is spent", async () => {
    handler = respondWithEvents("a", "b", "c");
    const opts = { "x-program": "tight", "x-budget": "8" };
    expect((await turn("b1", opts, 0)).status).toEqual(200);
    expect((await turn("b2", opts, 1)).status).toEqual(200);
    expect((await turn("b3", opts, 0)).status).toEqual(402);
    expect(cluster.received.length).toEqual(2);
  });

  it("does not look complete when its upstream disconnects", async () => {
    handler = (_received, res) => {
      res.writeHead(200, { "content-type": "text/event-stream" });
      res.write("id: 1\ndata: a\n\nid: 2\nda");
      setTimeout(() => res.socket?.destroy(), 30);
    };
    const result = await turn("t5");
    expect(result.isComplete).toEqual(false);
    expect(result.body).toEqual("id: 1\ndata: a\n\n");
    expect((await turn("t6", { "x-previous": "t5" })).status).toEqual(404);
  });
});

describe("the directory", () => {
  it("lists all ready fronts and no stopping ones", async () => {
    const queryDirectory = async () => {
      const result = await sendRequest(
        cluster.directoryAddresses[0]!,
        "/where",
      );
      return (JSON.parse(result.body) as { addresses: string[] }).addresses;
    };
    const before = await queryDirectory();
    expect(before.toSorted()).toEqual(cluster.callerAddresses.toSorted());
    const stopping = cluster.fronts[1]!.stop();
    await new Promise((resolve) => setTimeout(resolve, 100));
    expect(await queryDirectory()).toEqual([cluster.callerAddresses[0]!]);
    const late = await cluster.call("/plain/", {
      headers: { "x-id": "z1" },
      front: 1,
    });
    expect([late.status, late.headers.connection]).toEqual([200, "close"]);
    await stopping;
  });
});

/** Polls until the condition is true; throws after 100 attempts. */
async function waitFor(condition: () => Promise<boolean>): Promise<void> {
  for (let i = 0; i < 100; i++) {
    if (await condition()) return;
    await new Promise((resolve) => setTimeout(resolve, 30));
  }
  throw new Error("condition is still false after 100 attempts");
}
