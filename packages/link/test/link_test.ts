import { createNoopLoggers } from "@toucantrestle/log";
import {
  createSystemTimer,
  createTimerScope,
  type TimerScope,
} from "@toucantrestle/timer";
import { expect } from "earl";
import { randomInt } from "node:crypto";
import { createServer } from "node:net";
import { afterEach, beforeEach, describe, it } from "node:test";
import { isLinkAddress, LinkClient, LinkServer } from "../src/mod.ts";

type Methods = { double: { args: number; result: number } };
type Notices = { news: string };

const log = createNoopLoggers()("link");
/**
 * Below the ephemeral ports of the kernel: an outgoing connection could claim a
 * port while nothing listens on it.
 */
const LOWEST_PORT = 12_000;
const HIGHEST_PORT = 31_000;
const POLL_INTERVAL_MS = 5;
const WAIT_TIMEOUT_MS = 4_000;
const REQUEST_TIMEOUT_MS = 500;
/** Longer than a link may be silent. */
const SUSPENSION_MS = 2_000;

let scope: TimerScope;
let address: string;
let servers: LinkServer<Methods, Notices>[];
let clients: LinkClient<Methods, Notices>[];
let receivedNews: string[];
/** Called before a number is doubled. */
let onDouble: () => unknown;

beforeEach(async () => {
  scope = createTimerScope(createSystemTimer());
  address = await freeAddress();
  servers = [];
  clients = [];
  receivedNews = [];
  onDouble = () => {};
});

afterEach(() => {
  for (const it of clients) it.close();
  for (const it of servers) it.close();
  scope.end();
});

describe("a link", () => {
  it("delivers requests and notices", async () => {
    await listen();
    const client = dial();
    await waitUntil(() => client.isOpen);
    client.notify("news", "hello");
    expect(await client.request("double", 21, REQUEST_TIMEOUT_MS)).toEqual(42);
    expect(receivedNews).toEqual(["hello"]);
  });

  it("rejects a request immediately while the link is down", async () => {
    const client = dial();
    await expect(client.request("double", 1, REQUEST_TIMEOUT_MS))
      .toBeRejectedWith(
        "is down",
      );
  });

  for (const downtimeMs of [300, 1_200, 2_400]) {
    it(`reconnects promptly after a restart of ${downtimeMs} ms`, async () => {
      const client = dial();
      await sleep(downtimeMs);
      await listen();
      const listeningSince = scope.monotonicNow();
      await waitUntil(() => client.isOpen);
      expect(scope.monotonicNow() - listeningSince).toBeLessThan(250);
    });
  }

  it("reports a lost connection once and reconnects", async () => {
    const first = await listen();
    let losses = 0;
    const client = dial(() => losses += 1);
    await waitUntil(() => client.isOpen);
    first.close();
    await waitUntil(() => losses === 1);
    expect(client.isOpen).toEqual(false);
    await listen();
    await waitUntil(() => client.isOpen);
    expect(losses).toEqual(1);
  });

  it("stays open when this process was suspended", async () => {
    await listen();
    let lostCount = 0;
    const client = dial(() => lostCount += 1);
    await waitUntil(() => client.isOpen);
    blockFor(SUSPENSION_MS);
    await new Promise((resolve) => setTimeout(resolve, 100));
    expect(lostCount).toEqual(0);
  });

  // Guards against requests that fail although their results have arrived,
  // because this process was held up (503 for turns that could be found).
  it("takes a result that arrived in time while this process was held up", async () => {
    await listen();
    const client = dial();
    await waitUntil(() => client.isOpen);
    client.notify("news", "first");
    await waitUntil(() => receivedNews.length === 1);
    onDouble = () => setImmediate(() => blockFor(REQUEST_TIMEOUT_MS + 100));
    expect(await client.request("double", 21, REQUEST_TIMEOUT_MS)).toEqual(42);
  });

  it("rejects a request without a result when its time is over", async () => {
    await listen();
    const client = dial();
    await waitUntil(() => client.isOpen);
    onDouble = () => new Promise(() => {});
    await expect(client.request("double", 21, REQUEST_TIMEOUT_MS))
      .toBeRejectedWith("timed out");
  });
});

describe("a link to an address that cannot be dialled", () => {
  // Guards against an address of another writer that ends the process (LOST).
  for (
    const odd of [
      "127.0.0.1:65536",
      "127.0.0.1:-1",
      "127.0.0.1:0",
      "127.0.0.1:",
      "127.0.0.1",
      "999.1.1.1:80",
      "no address",
      "127.0.0.1:80#x",
      "127.0.0.1:80/x",
      "u@127.0.0.1:80",
      "127.0.0.1:80\r\nx: y",
      "",
    ]
  ) {
    it(`stays down (${JSON.stringify(odd)})`, async () => {
      address = odd;
      const client = dial();
      await expect(client.waitUntilOpen(10)).toBeRejectedWith("is not open");
      await expect(client.request("double", 1, REQUEST_TIMEOUT_MS))
        .toBeRejectedWith("is down");
    });
  }
});

describe("a notice whose handler fails", () => {
  // Guards against a message that ends the process that gets it (LOST).
  it("is dropped, and the link delivers the next ones", async () => {
    await listen((text) => {
      if (text === "odd") throw new Error("odd notice");
      receivedNews.push(text);
    });
    const client = dial();
    await waitUntil(() => client.isOpen);
    client.notify("news", "odd");
    client.notify("toString" as "news", "odd");
    client.notify("news", "hello");
    expect(await client.request("double", 21, REQUEST_TIMEOUT_MS)).toEqual(42);
    expect(receivedNews).toEqual(["hello"]);
  });
});

describe("an address of a link", () => {
  it("is a host with a port", () => {
    for (const it of ["10.1.0.38:65535", "localhost:1", "[::1]:8144"]) {
      expect(isLinkAddress(it)).toEqual(true);
    }
  });
});

async function listen(
  onNews = (text: string) => void receivedNews.push(text),
): Promise<LinkServer<Methods, Notices>> {
  const server = new LinkServer<Methods, Notices>({
    log,
    methods: {
      async double(n) {
        await onDouble();
        return 2 * n;
      },
    },
    notices: { news: onNews },
  });
  servers.push(server);
  await server.listen(address, { timer: createSystemTimer() });
  return server;
}

function dial(onLost = () => {}): LinkClient<Methods, Notices> {
  const client = new LinkClient<Methods, Notices>({
    self: "test",
    address,
    timer: scope,
    log,
    onLost,
  });
  clients.push(client);
  return client;
}

/** Keeps this process from doing anything else. */
function blockFor(ms: number): void {
  const end = performance.now() + ms;
  while (performance.now() < end);
}

/** Returns a loopback address on which no server listens. */
async function freeAddress(): Promise<string> {
  while (true) {
    const port = randomInt(LOWEST_PORT, HIGHEST_PORT);
    if (await canListen(port)) return `127.0.0.1:${port}`;
  }
}

function canListen(port: number): Promise<boolean> {
  return new Promise((resolve) => {
    const server = createServer();
    server.once("error", () => resolve(false));
    server.listen(port, "127.0.0.1", () => server.close(() => resolve(true)));
  });
}

function sleep(ms: number): Promise<void> {
  return new Promise((resolve) => scope.after(ms, resolve));
}

async function waitUntil(condition: () => boolean): Promise<void> {
  const deadline = scope.monotonicNow() + WAIT_TIMEOUT_MS;
  while (!condition()) {
    if (scope.monotonicNow() > deadline) {
      throw new Error("condition was not met");
    }
    await sleep(POLL_INTERVAL_MS);
  }
}
