import { failToAccept, findServer, sendNoise } from "@toucantrestle/stand_ins";
import { expect } from "earl";
import { after, before, describe, it } from "node:test";
import { TestCluster } from "./test_cluster.ts";

const cluster = new TestCluster();

before(async () => {
  cluster.configure([{ prefix: "/plain/" }]);
  await cluster.addUpstream("a");
  await cluster.addTurnStores(3);
  await cluster.addFront();
  await cluster.waitUntilReady("/plain/x");
});

after(() => cluster.close());

describe("servers of a front", () => {
  // Guards against a front that ends because it cannot accept a connection.
  it("go on after errors of accepting and of connections", async () => {
    const addresses = [
      cluster.callerAddresses[0],
      cluster.directoryAddresses[0],
      cluster.frontLinkAddresses[0],
    ].map(String);
    for (const address of addresses) {
      failToAccept(await findServer(address));
      await sendNoise(address);
      expect((await findServer(address)).listening).toEqual(true);
    }
    const headers = { "x-id": "after-errors" };
    expect((await cluster.call("/plain/x", { headers })).status).toEqual(200);
  });
});
