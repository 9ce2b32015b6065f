import { createNoopLoggers } from "@toucantrestle/log";
import { createSystemTimer, createTimerScope } from "@toucantrestle/timer";
import { expect } from "earl";
import { randomInt } from "node:crypto";
import { afterEach, beforeEach, describe, it } from "node:test";
import { LinkClient, type LinkClientOptions, LinkServer } from "../src/mod.ts";

type Methods = { double: { args: number; result: number } };
type Streams = { count: { args: number; part: number; control: string } };

const log = createNoopLoggers()("link");
const NETWORK = `127.${randomInt(1, 250)}.${randomInt(1, 250)}.1`;
/** Below the ports that the kernel gives to outgoing connections. */
const ADDRESS = `${NETWORK}:14007`;
const TIMEOUT_MS = 4_000;

let scope: ReturnType<typeof createTimerScope>;
let server: LinkServer<Methods, Record<never, never>, Streams>;
let clients: LinkClient<Methods, Record<never, never>, Streams>[];
let lostStreams: number[];

beforeEach(async () => {
  scope = createTimerScope(createSystemTimer());
  clients = [];
  lostStreams = [];
  await listen();
});

afterEach(() => {
  for (const it of clients) it.close();
  server.close();
  scope.end();
});

async function listen(): Promise<void> {
  server = new LinkServer({
    log,
    methods: { double: (it) => it * 2 },
    notices: {},
    streams: {
      count: (args) => ({
        onControl() {},
        onLost() {
          lostStreams.push(args);
          fail();
        },
      }),
    },
  });
  await server.listen(ADDRESS, { timer: scope });
}

function dial(opts: Partial<LinkClientOptions>) {
  const client = new LinkClient<Methods, Record<never, never>, Streams>({
    self: "a",
    address: ADDRESS,
    timer: scope,
    log,
    ...opts,
  });
  clients.push(client);
  return client;
}

function fail(): never {
  throw new Error("odd");
}

async function waitUntil(isDone: () => boolean): Promise<void> {
  const deadline = performance.now() + TIMEOUT_MS;
  while (!isDone()) {
    if (performance.now() > deadline) throw new Error("condition not met");
    await new Promise((resolve) => setTimeout(resolve, 5));
  }
}

// Guards against a link that is not dialled or used any more after an error of
// a part that listens to it (FAULT).
describe("a part that listens to a link and fails", () => {
  it("does not keep the link from opening", async () => {
    const client = dial({ onOpen: fail });
    await client.waitUntilOpen(TIMEOUT_MS);
    expect(await client.request("double", 2, TIMEOUT_MS)).toEqual(4);
  });

  it("does not keep the link from being dialled again", async () => {
    let losses = 0;
    const client = dial({
      onLost() {
        losses += 1;
        fail();
      },
    });
    await client.waitUntilOpen(TIMEOUT_MS);
    const lost: number[] = [];
    for (const args of [1, 2, 3]) {
      const onLost = () => {
        lost.push(args);
        fail();
      };
      client.open("count", args, { onPart() {}, onEnd() {}, onLost });
    }
    server.close();
    await waitUntil(() => losses === 1);
    await listen();
    await client.waitUntilOpen(TIMEOUT_MS);
    expect(lost).toEqual([1, 2, 3]);
  });

  it("does not keep other streams from hearing of the end", async () => {
    const client = dial({});
    await client.waitUntilOpen(TIMEOUT_MS);
    const handlers = { onPart() {}, onEnd() {}, onLost() {} };
    for (const args of [1, 2, 3]) client.open("count", args, handlers);
    await waitUntil(() => server.inProgressCount === 3);
    client.close();
    await waitUntil(() => lostStreams.length === 3);
    expect(server.inProgressCount).toEqual(0);
  });
});
