import { MemoryStore } from "@toucantrestle/config_store";
import { expect } from "earl";
import { after, before, describe, it } from "node:test";
import { TestCluster } from "./test_cluster.ts";

const cluster = new TestCluster();

before(async () => {
  cluster.configure([{ prefix: "/plain/" }]);
  await cluster.addTurnStores(3);
  await cluster.addUpstream("u1");
  await cluster.addFront();
  const unreachable = new MemoryStore();
  unreachable.isUnavailable = true;
  // The hosts are read over other calls, which succeed.
  await cluster.addFront({ store: unreachable });
});

after(() => cluster.close());

describe("a front that reads the hosts but not the upstreams", () => {
  // Guards against DRAIN and 503: a front that knew the hosts asked no sibling.
  it("learns the upstreams from a sibling", async () => {
    await cluster.waitUntilReady("/plain/x");
    const headers = { "x-id": "a" };
    const { status } = await cluster.call("/plain/a", { front: 1, headers });
    expect(status).toEqual(200);
  });
});
