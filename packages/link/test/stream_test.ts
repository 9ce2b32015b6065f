import { createNoopLoggers } from "@toucantrestle/log";
import { createSystemTimer, createTimerScope } from "@toucantrestle/timer";
import { expect } from "earl";
import { randomInt } from "node:crypto";
import { describe, it } from "node:test";
import { setTimeout as delay } from "node:timers/promises";
import { LinkClient, LinkServer, type StreamReceiver } from "../src/mod.ts";

type Methods = Record<never, never>;
type Notices = Record<never, never>;
type Streams = { count: { args: number; part: number; control: string } };

const log = createNoopLoggers()("link");
const WAIT_MS = 2_000;
/** Below the ephemeral ports, which outgoing connections may claim. */
const LOWEST_PORT = 12_000;
const HIGHEST_PORT = 31_000;

describe("a stream over a link", () => {
  it("delivers parts in order, then its end", async () => {
    const pair = await createPair((last, receiver) => {
      for (let i = 1; i <= last; i++) receiver.send(i);
      receiver.end();
    });
    const seen: unknown[] = [];
    pair.client.open("count", 3, {
      onPart: (part) => seen.push(part),
      onEnd: () => seen.push("end"),
      onLost: () => seen.push("lost"),
    });
    await pair.waitFor(() => seen.includes("end"));
    expect(seen).toEqual([1, 2, 3, "end"]);
    pair.close();
  });

  it("delivers controls to the side that serves it", async () => {
    const pair = await createPair(() => {});
    const stream = pair.client.open("count", 1, createHandlers());
    stream?.send("cancel");
    await pair.waitFor(() => pair.controls.length > 0);
    expect(pair.controls).toEqual(["cancel"]);
    pair.close();
  });

  it("is lost on both sides with its connection", async () => {
    const pair = await createPair(() => {});
    let isLost = false;
    pair.client.open("count", 1, {
      ...createHandlers(),
      onLost: () => isLost = true,
    });
    await pair.waitFor(() => pair.openCount() === 1);
    pair.client.close();
    await pair.waitFor(() => isLost && pair.lostCount() === 1);
    pair.close();
  });

  // Guards against LOST: a process that ends while it serves others.
  it("is in progress until its end is sent", async () => {
    const receivers: StreamReceiver<number>[] = [];
    const pair = await createPair((_args, it) => receivers.push(it));
    pair.client.open("count", 1, createHandlers());
    pair.client.open("count", 1, createHandlers());
    await pair.waitFor(() => receivers.length === 2);
    expect(pair.inProgressCount()).toEqual(2);
    receivers[0]?.end();
    await pair.waitFor(() => pair.inProgressCount() === 1);
    pair.client.close();
    await pair.waitFor(() => pair.inProgressCount() === 0);
    pair.close();
  });

  it("is not in progress if it ended as it was opened", async () => {
    const pair = await createPair((_args, it) => it.end());
    pair.client.open("count", 1, createHandlers());
    await pair.waitFor(() => pair.openCount() === 1);
    await pair.waitFor(() => pair.inProgressCount() === 0);
    pair.close();
  });

  // Guards against a stream that goes on with a gap, and against a process that
  // a part ends (ORDER, LOST).
  it("is lost with its connection if a part cannot be handled", async () => {
    const pair = await createPair((last, receiver) => {
      for (let i = 1; i <= last; i++) receiver.send(i);
      receiver.end();
    });
    const seen: unknown[] = [];
    pair.client.open("count", 3, {
      onPart(part) {
        if (part === 2) throw new Error("odd part");
        seen.push(part);
      },
      onEnd: () => seen.push("end"),
      onLost: () => seen.push("lost"),
    });
    await pair.waitFor(() => seen.includes("lost"));
    expect(seen).toEqual([1, "lost"]);
    pair.close();
  });

  it("is lost with its connection if it cannot be served", async () => {
    const pair = await createPair(() => {
      throw new Error("odd arguments");
    });
    let isLost = false;
    const onLost = () => isLost = true;
    pair.client.open("count", 1, { ...createHandlers(), onLost });
    await pair.waitFor(() => isLost);
    expect(pair.inProgressCount()).toEqual(0);
    pair.close();
  });

  it("is not opened while the link is down", async () => {
    const pair = await createPair(() => {});
    pair.client.close();
    await pair.waitFor(() => !pair.client.isOpen);
    expect(pair.client.open("count", 1, createHandlers())).toEqual(undefined);
    pair.close();
  });
});

function createHandlers() {
  return { onPart() {}, onEnd() {}, onLost() {} };
}

/** Creates a server of streams and a connected client. */
async function createPair(
  serve: (args: number, receiver: StreamReceiver<number>) => void,
) {
  const scope = createTimerScope(createSystemTimer());
  const controls: string[] = [];
  let opened = 0;
  let lost = 0;
  const server = new LinkServer<Methods, Notices, Streams>({
    log,
    methods: {},
    notices: {},
    streams: {
      count(args, receiver) {
        opened += 1;
        serve(args, receiver);
        return {
          onControl: (control) => controls.push(control),
          onLost: () => lost += 1,
        };
      },
    },
  });
  const address = `127.0.0.1:${randomInt(LOWEST_PORT, HIGHEST_PORT)}`;
  await server.listen(address, { timer: createSystemTimer() });
  const client = new LinkClient<Methods, Notices, Streams>({
    self: "a",
    address,
    timer: scope,
    log,
  });
  async function waitFor(isDone: () => boolean): Promise<void> {
    const deadline = performance.now() + WAIT_MS;
    while (!isDone()) {
      if (performance.now() > deadline) throw new Error("waited in vain");
      await delay(5);
    }
  }
  await waitFor(() => client.isOpen);
  return {
    client,
    controls,
    inProgressCount: () => server.inProgressCount,
    openCount: () => opened,
    lostCount: () => lost,
    waitFor,
    close() {
      client.close();
      server.close();
      scope.end();
    },
  };
}
