import { RawCaller } from "@toucantrestle/stand_ins";
import { expect } from "earl";
import fc from "fast-check";
import type { ServerResponse } from "node:http";
import { connect } from "node:net";
import { after, before, describe, it } from "node:test";
import { AttemptLedger } from "../src/attempt_ledger.ts";
import { TestCluster } from "./test_cluster.ts";

const HEADER_TIMEOUT_MS = 300;
/** Statuses that assure a caller that its request did not run. */
const NOT_RUN_STATUSES = [408, 421, 429, 503];

describe("AttemptLedger", () => {
  const verdicts = fc.constantFrom("not_run", "may_have_run", "ran", "open");

  // Guards against a refusal of a request that has run or still may.
  it("gives a proof only if each attempt has ended and none ran", () => {
    fc.assert(fc.property(fc.array(verdicts), (attempts) => {
      const ledger = new AttemptLedger();
      for (const verdict of attempts) {
        const end = ledger.begin();
        if (verdict === "open") continue;
        end(verdict as "ran");
        end("not_run");
      }
      const hasNotRun = attempts.every((it) => it === "not_run");
      expect(ledger.closeAsNotRun() !== undefined).toEqual(hasNotRun);
    }));
  });

  it("allows no attempt after a refusal", () => {
    const ledger = new AttemptLedger();
    ledger.closeAsNotRun();
    expect(() => ledger.begin()).toThrow("refused");
  });
});

describe("a request that runs", () => {
  const cluster = new TestCluster();
  const running: ServerResponse[] = [];

  before(async () => {
    cluster.configure([
      { prefix: "/held/", kind: "non_idempotent", maxRuns: 1 },
      {
        prefix: "/crash/",
        kind: "streaming",
        isResumable: true,
        maxRuns: 1,
        services: [{ service: "c", weight: 1 }],
      },
    ]);
    await cluster.addTurnStores(3);
    await cluster.addUpstream("u1", (received, res) => {
      if (received.path === "/held/x") res.end("ready");
      else running.push(res);
    });
    await cluster.addUpstream("c1", () => cluster.crashUpstream("c1"), {
      service: "c",
    });
    const item = await cluster.store.get("config");
    const config = JSON.parse(item?.value ?? "");
    config.limits.headerTimeoutMs = HEADER_TIMEOUT_MS;
    cluster.store.put("config", { ...config, version: 9 });
    await cluster.addFront();
    await cluster.waitUntilReady("/held/x");
  });

  after(() => cluster.close());

  // Guards against a 408 for the next request that answers the running one.
  it("gets no 408 when the next one on its connection is late", async () => {
    const caller = new RawCaller(cluster.callerAddresses[0] ?? "");
    caller.send(
      "POST /held/a HTTP/1.1\r\nhost: x.example\r\nx-id: a\r\n" +
        "content-length: 0\r\n\r\nPOST /held/b HTTP/1.1\r\nhost: x",
    );
    await caller.closed;
    expect(running.length).toEqual(1);
    expect(caller.statuses).toEqual([504, 408]);
  });

  it("a connection without one still gets the 408", async () => {
    const [host = "", port] = (cluster.callerAddresses[0] ?? "").split(":");
    const socket = connect(Number(port), host);
    let received = "";
    socket.on("data", (chunk) => received += chunk);
    socket.write("POST /held/b HTTP/1.1\r\nhost: x");
    await new Promise((resolve) => socket.on("close", resolve));
    expect(received.startsWith("HTTP/1.1 408 ")).toEqual(true);
  });

  // Guards against a refusal after a run that does not count against the limit.
  it("is not refused after its upstream has crashed", async () => {
    const headers = {
      "x-id": "c",
      "x-prompt-tokens": "1",
      "x-max-output": "1",
    };
    const { status } = await cluster.call("/crash/a", { headers });
    expect(NOT_RUN_STATUSES.includes(status)).toEqual(false);
    expect(cluster.received.filter((it) => it.id === "c").length).toEqual(1);
  });
});
