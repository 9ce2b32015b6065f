import { createSilentLoggers } from "@toucantrestle/log";
import {
  createSystemTimer,
  createTimerScope,
  type TimerScope,
} from "@toucantrestle/timer";
import { expect } from "earl";
import { type AddressInfo, createServer } from "node:net";
import { afterEach, beforeEach, describe, it } from "node:test";
import { LinkClient, LinkServer } from "../src/mod.ts";

type Methods = { double: { args: number; result: number } };
type Notices = { news: string };

const log = createSilentLoggers()("link");
const STEP_MS = 5;
const LIMIT_MS = 4_000;
const REQUEST_MS = 500;

let scope: TimerScope;
let address: string;
let servers: LinkServer<Methods, Notices>[];
let clients: LinkClient<Methods, Notices>[];
let news: string[];

beforeEach(async () => {
  scope = createTimerScope(createSystemTimer());
  address = await freeAddress();
  servers = [];
  clients = [];
  news = [];
});

afterEach(() => {
  for (const it of clients) it.close();
  for (const it of servers) it.close();
  scope.end();
});

describe("a link", () => {
  it("carries requests and notices", async () => {
    await listen();
    const client = dial();
    await until(() => client.isOpen);
    client.notify("news", "hello");
    expect(await client.request("double", 21, REQUEST_MS)).toEqual(42);
    expect(news).toEqual(["hello"]);
  });

  it("rejects a request at once while the other process is away", async () => {
    const client = dial();
    await expect(client.request("double", 1, REQUEST_MS)).toBeRejectedWith(
      "is down",
    );
  });

  for (const awayMs of [300, 1_200, 2_400]) {
    it(`opens soon after a restart that took ${awayMs} ms`, async () => {
      const client = dial();
      await pause(awayMs);
      await listen();
      const listensAt = scope.steady();
      await until(() => client.isOpen);
      expect(scope.steady() - listensAt).toBeLessThan(250);
    });
  }

  it("tells when it is lost, and opens again", async () => {
    const first = await listen();
    let losses = 0;
    const client = dial(() => losses += 1);
    await until(() => client.isOpen);
    first.close();
    await until(() => losses === 1);
    expect(client.isOpen).toEqual(false);
    await listen();
    await until(() => client.isOpen);
    expect(losses).toEqual(1);
  });
});

async function listen(): Promise<LinkServer<Methods, Notices>> {
  const server = new LinkServer<Methods, Notices>({
    log,
    methods: { double: (n) => 2 * n },
    notices: { news: (text) => news.push(text) },
  });
  servers.push(server);
  await server.listen(address);
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

/** An address on which nothing listens. */
function freeAddress(): Promise<string> {
  return new Promise((resolve, reject) => {
    const server = createServer();
    server.once("error", reject);
    server.listen(0, "127.0.0.1", () => {
      const { port } = server.address() as AddressInfo;
      server.close(() => resolve(`127.0.0.1:${port}`));
    });
  });
}

function pause(ms: number): Promise<void> {
  return new Promise((resolve) => scope.after(ms, resolve));
}

async function until(isTrue: () => boolean): Promise<void> {
  const limit = scope.steady() + LIMIT_MS;
  while (!isTrue()) {
    if (scope.steady() > limit) throw new Error("condition never came true");
    await pause(STEP_MS);
  }
}
