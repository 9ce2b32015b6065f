import { LinkClient } from "@toucantrestle/link";
import { createNoopLoggers } from "@toucantrestle/log";
import { createSystemTimer, createTimerScope } from "@toucantrestle/timer";
import { expect } from "earl";
import { after, before, describe, it } from "node:test";
import { setTimeout as delay } from "node:timers/promises";
import type { Digest, FrontNotices } from "../src/protocol.ts";
import { TestCluster } from "./test_cluster.ts";

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
});
