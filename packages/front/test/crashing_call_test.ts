import { expect } from "earl";
import { after, before, describe, it } from "node:test";
import { TestCluster } from "./test_cluster.ts";

const cluster = new TestCluster();
const UPSTREAM_IDS = ["u1", "u2", "u3", "u4", "u5"];

before(async () => {
  cluster.configure([
    { prefix: "/plain/" },
    { prefix: "/again/", kind: "idempotent", maxRuns: 2 },
  ]);
  await cluster.addTurnStores(3);
  for (const id of UPSTREAM_IDS) {
    await cluster.addUpstream(id, (received, res) => {
      if (received.path.startsWith("/plain/")) res.end("fine");
      else cluster.crashUpstream(id);
    });
  }
  await cluster.addFront();
  await cluster.waitUntilReady("/plain/x");
});

after(() => cluster.close());

describe("a call that crashes every upstream that runs it", () => {
  it("is retried on a limited number of upstreams", async () => {
    const result = await cluster.call("/again/", { headers: { "x-id": "c1" } });
    expect(result.status).toEqual(502);
    expect(cluster.received.length).toEqual(3);
  });
});
