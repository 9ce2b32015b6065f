import { createLoggers } from "@toucantrestle/log";
import { expect } from "earl";
import { connect, type Socket } from "node:net";
import { after, before, beforeEach, describe, it } from "node:test";
import { setTimeout as delay } from "node:timers/promises";
import { TestCluster } from "./test_cluster.ts";

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

before(async () => {
  cluster.configure([{ prefix: "/plain/" }]);
  await cluster.addUpstream("u1", ({ id }, res) => {
    if (!id.startsWith("silent")) res.end("ok");
  });
  await cluster.addFront();
  await cluster.waitUntilReady("/plain/x");
});

after(() => cluster.close());

beforeEach(() => {
  lines.length = 0;
});

/** Sends a request with this id on a connection of its own. */
function send(id: string): Socket {
  const [host, port] = String(cluster.callerAddresses[0]).split(":");
  const socket = connect(Number(port), host);
  socket.on("error", () => {});
  socket.write(
    `GET /plain/x HTTP/1.1\r\nhost: x.example\r\nx-id: ${id}\r\n\r\n`,
  );
  return socket;
}

async function lineOf(event: string, field: string, value: string) {
  while (true) {
    const line = lines.find((it) => it.event === event && it[field] === value);
    if (line) return line;
    await delay(10);
  }
}

describe("log of a call whose connection closes", () => {
  // Guards against a log that blames callers for what a front has closed.
  it("says that the caller has closed it", async () => {
    const socket = send("silent-1");
    await lineOf("routed", "req", "silent-1");
    socket.resetAndDestroy();
    const line = await lineOf("cut_off", "req", "silent-1");
    expect(line.closedBy).toEqual("caller");
    expect(line.isStopping).toEqual(false);
  });
});

describe("log of an upstream that leaves", () => {
  // Guards against a log that does not say how a front learned of it.
  it("names the source and the revision of the store", async () => {
    const entry = { ...cluster.entryOf("u1"), isDraining: true };
    cluster.store.put("upstreams/u1", entry);
    const line = await lineOf("draining", "upstream", "u1");
    expect(line.source).toEqual("event");
    expect(Number(line.revision) > 0).toEqual(true);
  });
});
