import { createNoopLoggers } from "@toucantrestle/log";
import type { HostRun } from "@toucantrestle/membership";
import { createSystemTimer } from "@toucantrestle/timer";
import { expect } from "earl";
import { pack } from "msgpackr";
import { type AddressInfo, connect, createServer } from "node:net";
import { afterEach, describe, it } from "node:test";
import { setTimeout as delay } from "node:timers/promises";
import { generate } from "selfsigned";
import { WebSocket, WebSocketServer } from "ws";
import { PROTOCOL_VERSION } from "../src/messages.ts";
import { type PeerHandlers, SiblingNet, type SiblingTls } from "../src/mod.ts";

const LINK_TIMEOUT_MS = 5_000;
const POLL_MS = 5;
const LARGE_TEXT = "x".repeat(8_000_000);
/** An array of two elements, of which one is missing. */
const TRUNCATED_MESSAGE = Buffer.from([0x92, 0x01]);

interface NetOptions {
  key?: string;
  tls?: SiblingTls;
  cut?: Set<string>;
  onCall?: PeerHandlers["onCall"];
}

const nets: SiblingNet[] = [];

afterEach(async () => {
  await Promise.all(nets.splice(0).map((net) => net.close()));
});

async function findFreePort(): Promise<number> {
  return await new Promise((resolve) => {
    const server = createServer();
    server.listen(0, "127.0.0.1", () => {
      const address = server.address();
      const port = typeof address === "object" ? address?.port ?? 0 : 0;
      server.close(() => resolve(port));
    });
  });
}

async function createNet(host: string, opts: NetOptions = {}) {
  const self: HostRun = {
    runId: `run-${host}`,
    host,
    dataCentre: "dc",
    address: "127.0.0.1:1",
    siblingAddress: `127.0.0.1:${await findFreePort()}`,
  };
  const net = new SiblingNet({
    self,
    key: opts.key ?? "the-sibling-key",
    timer: createSystemTimer(),
    handlers: { ...createHandlers(host), ...opts },
    heartbeat: () => ({ stamp: { ms: 0, count: 0 }, tableRevision: 0 }),
    isCut: (other) => opts.cut?.has(other) ?? false,
    isSiblingKey: () => false,
    tls: opts.tls,
    log: createNoopLoggers()("sibling"),
  });
  await net.listen();
  nets.push(net);
  return { net, self };
}

function createHandlers(host: string): PeerHandlers {
  const handlers = {
    rpcs: { heard: () => ({ silentMs: host.length }) },
    onHeartbeat() {},
    onAppendAcks() {},
    onLinked() {},
  };
  return handlers as unknown as PeerHandlers;
}

async function waitForLink(net: SiblingNet, to: HostRun): Promise<boolean> {
  const deadline = Date.now() + LINK_TIMEOUT_MS;
  while (Date.now() < deadline) {
    if (net.session(to)) return true;
    await new Promise((resolve) => setTimeout(resolve, 20));
  }
  return false;
}

async function createCertificate(): Promise<SiblingTls> {
  const name = [{ name: "commonName", value: "sibling" }];
  const pems = await generate(name, {
    extensions: [
      { name: "basicConstraints", cA: true },
      {
        name: "subjectAltName",
        altNames: [{ type: 7, ip: "127.0.0.1" }],
      },
    ],
  });
  return { cert: pems.cert, key: pems.private, ca: pems.cert };
}

describe("SiblingNet", () => {
  it("delivers a request and returns its result", async () => {
    const a = await createNet("a");
    const b = await createNet("bbb");
    a.net.setTargets([b.self.siblingAddress]);
    expect(await waitForLink(a.net, b.self)).toEqual(true);
    const session = a.net.requireSession(b.self);
    const { silentMs } = await session.rpc("heard", { runId: "x" }, 1_000);
    expect(silentMs).toEqual(3);
  });

  // Guards against an address of another writer that ends the process.
  it("keeps its other links when an address cannot be dialled", async () => {
    const a = await createNet("a");
    const b = await createNet("bbb");
    a.net.setTargets(["127.0.0.1:65536", "no address"]);
    a.net.setTargets(["127.0.0.1:65536", "", b.self.siblingAddress]);
    expect(await waitForLink(a.net, b.self)).toEqual(true);
  });

  // Guards against LOST: a host ended before what it had answered was sent.
  it("sends the responses of siblings' calls before it closes", async () => {
    const calls: (() => void)[] = [];
    const a = await createNet("a");
    const b = await createNet("b", {
      onCall: (_caller, _request, sink) =>
        new Promise((resolve) => {
          calls.push(() => {
            sink.data(LARGE_TEXT);
            sink.end();
            resolve();
          });
        }),
    });
    a.net.setTargets([b.self.siblingAddress]);
    expect(await waitForLink(a.net, b.self)).toEqual(true);
    let received = "";
    const call = a.net.requireSession(b.self).call("caller", {} as never, {
      hasStarted: true,
      head() {},
      data: (text) => received += text,
      end() {},
    });
    while (calls.length === 0) await delay(POLL_MS);
    const closed = b.net.drain(LINK_TIMEOUT_MS).then(() => b.net.close());
    calls[0]?.();
    await call;
    expect(received.length).toEqual(LARGE_TEXT.length);
    await closed;
  });

  it("rejects a link with a wrong sibling key", async () => {
    const a = await createNet("a", { key: "another-key" });
    const b = await createNet("b");
    a.net.setTargets([b.self.siblingAddress]);
    await new Promise((resolve) => setTimeout(resolve, 500));
    expect(a.net.session(b.self)).toEqual(undefined);
  });

  it("closes a link that sends a malformed message, before its hello or after", async () => {
    const { self } = await createNet("a");
    for (const isGreeted of [false, true]) {
      const socket = new WebSocket(`ws://${self.siblingAddress}`);
      await new Promise((resolve) => socket.once("open", resolve));
      if (isGreeted) {
        socket.send(pack({
          t: "hello",
          version: PROTOCOL_VERSION,
          run: { ...self, runId: "run-b", host: "b" },
          key: "the-sibling-key",
        }));
      }
      const closed = new Promise((resolve) => socket.once("close", resolve));
      socket.send(TRUNCATED_MESSAGE);
      await closed;
    }
  });

  // Guards against one message that ends the process of its receiver.
  it("closes a link that sends a message which it cannot handle", async () => {
    const a = await createNet("a");
    const hello = {
      t: "hello",
      version: PROTOCOL_VERSION,
      run: { ...a.self, runId: "run-b", host: "b" },
      key: "the-sibling-key",
    };
    const messages = [
      [{ t: "hello", version: PROTOCOL_VERSION }],
      [{ ...hello, key: 7 }],
      [hello, { t: "load", digests: null }],
      [hello, { t: "append" }],
    ];
    for (const sent of messages) {
      const socket = new WebSocket(`ws://${a.self.siblingAddress}`);
      await new Promise((resolve) => socket.once("open", resolve));
      const closed = new Promise<boolean>((resolve) => {
        socket.once("close", () => resolve(true));
        setTimeout(() => resolve(false), LINK_TIMEOUT_MS).unref();
      });
      for (const message of sent) socket.send(pack(message));
      expect([sent, await closed]).toEqual([sent, true]);
    }
    const b = await createNet("bbb");
    a.net.setTargets([b.self.siblingAddress]);
    expect(await waitForLink(a.net, b.self)).toEqual(true);
  });

  // Guards against a stop that lasts as long as a connection without a link.
  it("ends connections that are no links when it closes", async () => {
    const { net, self } = await createNet("a");
    const [host = "", port] = self.siblingAddress.split(":");
    const socket = connect({ host, port: Number(port) });
    socket.on("error", () => {});
    await new Promise((resolve) => socket.once("connect", resolve));
    const isClosed = await Promise.race([
      net.close().then(() => true),
      delay(LINK_TIMEOUT_MS, false),
    ]);
    socket.destroy();
    expect(isClosed).toEqual(true);
  });

  it("redials a link whose other side never sends its hello", async () => {
    const { net } = await createNet("a");
    let connections = 0;
    const silent = new WebSocketServer({ host: "127.0.0.1", port: 0 });
    silent.on("connection", () => connections += 1);
    await new Promise((resolve) => silent.once("listening", resolve));
    const { port } = silent.address() as AddressInfo;
    net.setTargets([`127.0.0.1:${port}`]);
    const deadline = Date.now() + LINK_TIMEOUT_MS;
    while (connections < 2 && Date.now() < deadline) {
      await new Promise((resolve) => setTimeout(resolve, 20));
    }
    expect(connections).toEqual(2);
    for (const socket of silent.clients) socket.terminate();
    silent.close();
  });

  it("drops messages on a cut link, so that a request times out", async () => {
    const cut = new Set<string>();
    const a = await createNet("a", { cut });
    const b = await createNet("b");
    a.net.setTargets([b.self.siblingAddress]);
    expect(await waitForLink(a.net, b.self)).toEqual(true);
    cut.add("b");
    const session = a.net.requireSession(b.self);
    await expect(session.rpc("heard", { runId: "x" }, 200))
      .toBeRejectedWith("did not answer");
  });

  it("links over TLS and rejects a plain-text link", async () => {
    const tls = await createCertificate();
    const a = await createNet("a", { tls });
    const b = await createNet("b", { tls });
    const plain = await createNet("c");
    a.net.setTargets([b.self.siblingAddress]);
    plain.net.setTargets([b.self.siblingAddress]);
    expect(await waitForLink(a.net, b.self)).toEqual(true);
    expect(plain.net.session(b.self)).toEqual(undefined);
  });
});

describe("a stranger that dials a daemon", () => {
  async function dial(): Promise<WebSocket> {
    const { self } = await createNet("a");
    const socket = new WebSocket(`ws://${self.siblingAddress}`);
    socket.on("error", () => {});
    await new Promise((resolve) => socket.once("open", resolve));
    return socket;
  }

  function untilClosed(socket: WebSocket): Promise<boolean> {
    return Promise.race([
      new Promise<boolean>((resolve) =>
        socket.once("close", () => resolve(true))
      ),
      delay(LINK_TIMEOUT_MS).then(() => false),
    ]);
  }

  // Guards against a long message of which all is kept before its key is known.
  it("is cut off if its hello is too long", async () => {
    const socket = await dial();
    socket.send(Buffer.alloc(1_000_000), { fin: false });
    expect(await untilClosed(socket)).toEqual(true);
  });

  // Guards against links without a hello that stay open.
  it("is cut off if it says nothing", async () => {
    expect(await untilClosed(await dial())).toEqual(true);
  });
});
