import { LinkClient, LinkServer } from "@toucantrestle/link";
import { createNoopLoggers } from "@toucantrestle/log";
import { createSystemTimer, createTimerScope } from "@toucantrestle/timer";
import { expect } from "earl";
import { after, before, describe, it } from "node:test";
import { setTimeout as delay } from "node:timers/promises";
import type { Digest, FrontNotices } from "../src/protocol.ts";
import { readDigest } from "../src/siblings/earlier_build.ts";
import { freeAddress, sendRequest, TestCluster } from "./test_cluster.ts";
import { testProtocol } from "./test_protocol.ts";

/** Digest as fronts sent it before they had notices of upstreams. */
const EARLIER_DIGEST = {
  host: "front-old",
  state: "ready",
  reachesTurnStores: true,
  configVersion: 1,
  crashes: [],
} as unknown as Digest;

const cluster = new TestCluster();

before(async () => {
  cluster.configure([{ prefix: "/plain/" }]);
  await cluster.addUpstream("a");
  await cluster.addFront();
  await cluster.waitUntilReady("/plain/x");
});

after(() => cluster.close());

describe("digest of a front of an earlier build", () => {
  // Guards against a front that ends when it lists one in an unknown state.
  it("is read only if its state is known", () => {
    for (const state of ["leaving", "constructor", 7, undefined]) {
      const digest = { ...EARLIER_DIGEST, state } as unknown as Digest;
      expect(() => readDigest(digest)).toThrow(TypeError);
    }
    expect(readDigest(EARLIER_DIGEST).report.state).toEqual("ready");
  });
});

describe("front beside one of an earlier build", () => {
  // Guards against a change of builds that ends the fronts of the new one.
  it("serves after a digest without notices", async () => {
    const scope = createTimerScope(createSystemTimer());
    const link = new LinkClient<Record<never, never>, FrontNotices>({
      self: "front-old",
      address: String(cluster.frontLinkAddresses[0]),
      timer: scope,
      log: createNoopLoggers()("link"),
    });
    while (!link.isOpen) await delay(5);
    link.notify("digest", EARLIER_DIGEST);
    await delay(100);
    const result = await cluster.call("/plain/x", { headers: { "x-id": "e" } });
    expect(result.status).toEqual(200);
    link.close();
    scope.end();
  });

  // Guards against fronts that miss each other while builds change.
  it("answers a digest with one, and lists the front as connected", async () => {
    const scope = createTimerScope(createSystemTimer());
    const log = createNoopLoggers()("link");
    const received: Digest[] = [];
    const server = new LinkServer<Record<never, never>, FrontNotices>({
      log,
      methods: {},
      notices: {
        gossip: () => {},
        digest: (digest) => received.push(digest),
        loads: () => {},
        settle: () => {},
      },
    });
    const address = await freeAddress();
    await server.listen(address, { timer: createSystemTimer() });
    cluster.store.put("fleet/hosts/front-old", {
      id: "front-old",
      host: "front-old",
      role: "front",
      linkAddress: address,
      callerAddress: "127.0.0.1:1",
      dataCentre: "a",
    });
    const link = new LinkClient<Record<never, never>, FrontNotices>({
      self: "front-old",
      address: String(cluster.frontLinkAddresses[0]),
      timer: scope,
      log,
    });
    while (!link.isOpen) await delay(5);
    while (received.length === 0) {
      link.notify("digest", EARLIER_DIGEST);
      await delay(50);
    }
    expect(received[0]?.host).toEqual("front-0");
    const directory = await sendRequest(
      String(cluster.directoryAddresses[0]),
      testProtocol.directoryPath,
    );
    expect(directory.body).toInclude('127.0.0.1:1"');
    link.close();
    server.close();
    scope.end();
  });
});
