import { expect } from "earl";
import { after, before, beforeEach, describe, it } from "node:test";
import type { ServerResponse } from "node:http";
import {
  answerEvents,
  callAddress,
  type Seen,
  type UpstreamHandler,
  World,
} from "./world.ts";

const world = new World();
let handler: UpstreamHandler;

const TURN = { "x-prompt-tokens": "10", "x-max-output": "5" };

before(async () => {
  world.configure([
    { prefix: "/plain/" },
    { prefix: "/once/", kind: "non_idempotent", maxRuns: 1 },
    { prefix: "/slow/", kind: "non_idempotent", timeoutMs: 300 },
    { prefix: "/again/", kind: "streaming", isResumable: true, maxRuns: 2 },
    { prefix: "/single/", kind: "streaming", isResumable: true, maxRuns: 1 },
    { prefix: "/kept/", kind: "streaming", keepsTurns: true, maxRuns: 1 },
  ]);
  await world.addTurnStores(3);
  await world.addUpstream("u1", (seen, res) => handler(seen, res));
  await world.addUpstream("u2", (seen, res) => handler(seen, res));
  await world.addFront();
  await world.addFront();
  handler = answerEvents("a");
  await world.ready("/kept/x", { ...TURN, "x-program": "w", "x-budget": "99" });
});

after(() => world.close());

beforeEach(() => {
  world.seen.length = 0;
  handler = (seen, res) => res.end(`did ${seen.id}`);
});

describe("a plain request", () => {
  it("reaches one upstream unchanged and its answer comes back", async () => {
    const got = await world.call("/plain/a?b=c", {
      headers: { "x-id": "q1", "x-own": "1", "x-upstream": "forged" },
      body: "hello",
    });
    expect(got.status).toEqual(200);
    expect(got.body).toEqual("did q1");
    expect(world.seen.length).toEqual(1);
    const seen = world.seen[0]!;
    expect([seen.path, seen.body]).toEqual(["/plain/a?b=c", "hello"]);
    expect(seen.headers["x-own"]).toEqual("1");
    expect(seen.headers["x-upstream"] === "forged").toEqual(false);
  });

  it("is answered 404 without a route and 400 without an id", async () => {
    const unknown = await world.call("/none/", { headers: { "x-id": "q2" } });
    expect(unknown.status).toEqual(404);
    expect((await world.call("/plain/")).status).toEqual(400);
  });

  it("is answered 413 when its body is too large", async () => {
    const got = await world.call("/plain/", {
      headers: { "x-id": "q3" },
      body: "x".repeat(200_000),
    });
    expect(got.status).toEqual(413);
    expect(world.seen).toEqual([]);
  });

  it("goes to another upstream when the first breaks off", async () => {
    let calls = 0;
    handler = (_seen, res) => {
      calls += 1;
      if (calls === 1) res.socket?.destroy();
      else res.end("second");
    };
    const got = await world.call("/plain/", { headers: { "x-id": "q4" } });
    expect([got.status, got.body]).toEqual([200, "second"]);
    expect(world.seen[0]!.headers["x-upstream"])
      .not.toEqual(world.seen[1]!.headers["x-upstream"]);
  });
});

describe("an answer that cannot be the upstream's", () => {
  it("is not passed on when a success bears no mark", async () => {
    handler = (_seen, res) => {
      res.removeHeader("x-mark");
      res.end("forged");
    };
    const got = await world.call("/once/", { headers: { "x-id": "f1" } });
    expect(got.status).toEqual(502);
    expect(got.body.includes("forged")).toEqual(false);
  });

  it("is not passed on when it promises that nothing ran", async () => {
    handler = (_seen, res) => {
      res.writeHead(503);
      res.end("busy");
    };
    const got = await world.call("/once/", { headers: { "x-id": "f2" } });
    expect(got.status).toEqual(502);
  });
});

describe("a stream that may be resumed", () => {
  /** Two events, then a break; whoever goes on sends what is left of four. */
  const breakAfterTwo =
    (onBreak: (upstream: string) => void) =>
    (seen: Seen, res: ServerResponse) => {
      const after = Number(seen.headers["last-event-id"] ?? 0);
      res.writeHead(200, { "content-type": "text/event-stream" });
      for (let i = after + 1; i <= 4; i++) {
        res.write(`id: ${i}\ndata: e${i}\n\n`);
        if (after > 0 || i < 2) continue;
        res.write("id: 3\nda");
        const upstream = String(seen.headers["x-upstream"]);
        setTimeout(() => onBreak(upstream), 20);
        setTimeout(() => res.socket?.destroy(), 20);
        return;
      }
      res.end();
    };
  const all = [1, 2, 3, 4].map((i) => `id: ${i}\ndata: e${i}\n\n`).join("");

  it("goes on at another upstream after its last whole event", async () => {
    handler = breakAfterTwo(() => {});
    const got = await world.call("/again/", { headers: { "x-id": "r1" } });
    expect([got.body, got.isWhole]).toEqual([all, true]);
    expect(got.headers["x-mark"]).toEqual(world.seen[0]!.headers["x-upstream"]);
    expect(world.seen.length).toEqual(2);
    expect(world.seen[1]!.headers["last-event-id"]).toEqual("2");
  });

  it("breaks off where it may run once and its upstream lives", async () => {
    handler = breakAfterTwo(() => {});
    const got = await world.call("/single/", { headers: { "x-id": "r2" } });
    expect(got.isWhole).toEqual(false);
    expect(world.seen.length).toEqual(1);
  });

  it("breaks off when the next upstream starts from the beginning", async () => {
    let calls = 0;
    handler = (seen, res) => {
      calls += 1;
      if (calls === 1) breakAfterTwo(() => {})(seen, res);
      else answerEvents("e1", "e2", "e3", "e4")(seen, res);
    };
    const got = await world.call("/again/", { headers: { "x-id": "r3" } });
    expect(got.isWhole).toEqual(false);
    expect(got.body).toEqual(all.slice(0, all.indexOf("id: 3")));
  });

  it("goes on although it may run once when its upstream has ended", async () => {
    await world.addUpstream("u3", (seen, res) => handler(seen, res));
    handler = (seen, res) => {
      const isThird = seen.headers["x-upstream"] === "u3";
      const goesOn = seen.headers["last-event-id"] !== undefined;
      if (isThird || goesOn) {
        breakAfterTwo((it) => world.crashUpstream(it))(seen, res);
        return;
      }
      res.writeHead(503, { "x-not-run": "1" });
      res.end();
    };
    // The others decline the beginning, and may take the rest all the same.
    await until(async () => {
      const got = await world.call("/single/", { headers: { "x-id": "r4" } });
      return got.status === 200 && got.isWhole && got.body === all;
    });
    const runs = world.seen.slice(-2).map((it) => it.headers["x-upstream"]);
    expect(runs[0]).toEqual("u3");
    expect(runs[1]).not.toEqual("u3");
  });
});

describe("a request that may not be repeated", () => {
  it("is not sent again when its answer is lost", async () => {
    handler = (_seen, res) => res.socket?.destroy();
    const got = await world.call("/once/", { headers: { "x-id": "n1" } });
    expect(got.status).toEqual(502);
    expect(world.seen.length).toEqual(1);
  });

  it("goes on to another upstream when one did not run it", async () => {
    let calls = 0;
    handler = (_seen, res) => {
      calls += 1;
      if (calls > 1) return res.end("ran");
      res.writeHead(503, { "x-not-run": "1" });
      res.end();
    };
    const got = await world.call("/once/", { headers: { "x-id": "n2" } });
    expect([got.status, got.body]).toEqual([200, "ran"]);
  });

  it("is refused with a time to come back when nobody ran it", async () => {
    handler = (_seen, res) => {
      res.writeHead(503, { "x-not-run": "1" });
      res.end();
    };
    const got = await world.call("/once/", { headers: { "x-id": "n3" } });
    expect(got.status).toEqual(503);
    expect(Number(got.headers["retry-after"]) > 0).toEqual(true);
  });

  it("is answered at its route's time limit, and its upstream is told", async () => {
    let isClosed = false;
    handler = (_seen, res) => {
      res.on("close", () => isClosed = true);
    };
    const startedAt = Date.now();
    const got = await world.call("/slow/", { headers: { "x-id": "n4" } });
    const ms = Date.now() - startedAt;
    expect(got.status).toEqual(504);
    expect(ms >= 290 && ms < 600).toEqual(true);
    await new Promise((resolve) => setTimeout(resolve, 50));
    expect(isClosed).toEqual(true);
  });
});

describe("a turn", () => {
  function turn(id: string, opts: Record<string, string> = {}, front = 0) {
    return world.call("/kept/x", {
      headers: { ...TURN, "x-id": id, "x-program": "p", ...opts },
      body: `in-${id};`,
      front,
    });
  }

  it("continues at any front from what was said before", async () => {
    handler = answerEvents("one", "two");
    await turn("t1");
    await turn("t2", { "x-previous": "t1" }, 1);
    await turn("t3", { "x-previous": "t2" }, 0);
    expect(world.seen.map((it) => it.body)).toEqual([
      "in-t1;",
      "in-t1;one\ntwo\nin-t2;",
      "in-t1;one\ntwo\nin-t2;one\ntwo\nin-t3;",
    ]);
  });

  it("is answered 404 when it continues a turn that never was", async () => {
    const got = await turn("t4", { "x-previous": "nothing" });
    expect(got.status).toEqual(404);
    expect(world.seen).toEqual([]);
  });

  it("is answered 402 once the budget is spent, at any front", async () => {
    handler = answerEvents("a", "b", "c");
    const opts = { "x-program": "tight", "x-budget": "8" };
    expect((await turn("b1", opts, 0)).status).toEqual(200);
    expect((await turn("b2", opts, 1)).status).toEqual(200);
    expect((await turn("b3", opts, 0)).status).toEqual(402);
    expect(world.seen.length).toEqual(2);
  });

  it("does not look complete when its upstream breaks off", async () => {
    handler = (_seen, res) => {
      res.writeHead(200, { "content-type": "text/event-stream" });
      res.write("id: 1\ndata: a\n\nid: 2\nda");
      setTimeout(() => res.socket?.destroy(), 30);
    };
    const got = await turn("t5");
    expect(got.isWhole).toEqual(false);
    expect(got.body).toEqual("id: 1\ndata: a\n\n");
    expect((await turn("t6", { "x-previous": "t5" })).status).toEqual(404);
  });
});

describe("where to connect", () => {
  it("names all fronts that are ready, and none that stops", async () => {
    const ask = async () => {
      const got = await callAddress(world.directoryAddresses[0]!, "/where");
      return (JSON.parse(got.body) as { addresses: string[] }).addresses;
    };
    const before = await ask();
    expect(before.toSorted()).toEqual(world.callerAddresses.toSorted());
    const stopping = world.fronts[1]!.stop();
    await new Promise((resolve) => setTimeout(resolve, 100));
    expect(await ask()).toEqual([world.callerAddresses[0]!]);
    const late = await world.call("/plain/", {
      headers: { "x-id": "z1" },
      front: 1,
    });
    expect([late.status, late.headers.connection]).toEqual([200, "close"]);
    await stopping;
  });
});

/** Tries until something comes true; fails after a few seconds. */
async function until(isTrue: () => Promise<boolean>): Promise<void> {
  for (let i = 0; i < 100; i++) {
    if (await isTrue()) return;
    await new Promise((resolve) => setTimeout(resolve, 30));
  }
  throw new Error("condition never came true");
}
