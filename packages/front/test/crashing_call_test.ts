import { expect } from "earl";
import { after, before, describe, it } from "node:test";
import { World } from "./world.ts";

const world = new World();
const IDS = ["u1", "u2", "u3", "u4", "u5"];

before(async () => {
  world.configure([
    { prefix: "/plain/" },
    { prefix: "/again/", kind: "idempotent", maxRuns: 2 },
  ]);
  await world.addTurnStores(3);
  for (const id of IDS) {
    await world.addUpstream(id, (seen, res) => {
      if (seen.path.startsWith("/plain/")) res.end("fine");
      else world.crashUpstream(id);
    });
  }
  await world.addFront();
  await world.ready("/plain/x");
});

after(() => world.close());

describe("a call that crashes every upstream that runs it", () => {
  it("is not passed around among all of them", async () => {
    const got = await world.call("/again/", { headers: { "x-id": "c1" } });
    expect(got.status).toEqual(502);
    expect(world.seen.length).toEqual(3);
  });
});
