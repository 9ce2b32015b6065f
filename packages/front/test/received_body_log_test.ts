import { createLoggers } from "@toucantrestle/log";
import { expect } from "earl";
import { after, before, beforeEach, describe, it } from "node:test";
import { type RawResponse, TestCluster, writeRaw } from "./test_cluster.ts";

const lines: Record<string, unknown>[] = [];
const cluster = new TestCluster({
  loggers: createLoggers({
    host: "front-0",
    format: "json",
    level: "info",
    sink: {
      write: (text) => lines.push(JSON.parse(text)),
      writableLength: 0,
    },
  }),
});
const TURN_HEADERS = { "x-prompt-tokens": "10", "x-max-output": "5" };
const WHOLE_EVENT = "id: 1\ndata: a\n\n";
let response: RawResponse;

before(async () => {
  cluster.configure([
    { prefix: "/plain/", kind: "non_idempotent", maxRuns: 1 },
    { prefix: "/events/", kind: "streaming", maxRuns: 1 },
  ]);
  await cluster.addTurnStores(3);
  await cluster.addUpstream("u1", (_received, res) => writeRaw(res, response));
  await cluster.addFront();
  response = {
    delimiter: "length",
    body: "ok",
    isCut: false,
    ending: "close",
  };
  await cluster.waitUntilReady("/plain/x");
});

after(() => cluster.close());

beforeEach(() => {
  lines.length = 0;
});

/** Makes a call and returns the log line of one event on it. */
async function logLineOf(event: string, path: string, id: string) {
  await cluster.call(path, { headers: { ...TURN_HEADERS, "x-id": id } });
  return lines.find((it) => it.event === event && it.req === id);
}

describe("the log of a call says what was received of the response's body", () => {
  it("after a whole event stream", async () => {
    response = {
      delimiter: "chunked",
      body: WHOLE_EVENT,
      isCut: false,
      ending: "close",
    };
    const line = await logLineOf("answered", "/events/x", "l1");
    expect(line).toBeTruthy();
    expect(line?.delimiter).toEqual("chunked");
    expect(line?.bytes).toEqual(WHOLE_EVENT.length);
    expect(line?.events).toEqual(1);
  });

  it("after a stream that ends inside an event", async () => {
    response = {
      delimiter: "close",
      body: `${WHOLE_EVENT}id: 2`,
      isCut: true,
      ending: "close",
    };
    const line = await logLineOf("attempt_failed", "/events/x", "l2");
    expect(line?.delimiter).toEqual("close");
    expect(line?.events).toEqual(1);
    expect(line?.partialEventBytes).toEqual(5);
  });

  it("after a plain body without a length", async () => {
    response = {
      delimiter: "close",
      body: "whole",
      isCut: false,
      ending: "close",
    };
    const line = await logLineOf("answered", "/plain/x", "l3");
    expect(line?.delimiter).toEqual("close");
    expect(line?.bytes).toEqual(5);
  });
});
