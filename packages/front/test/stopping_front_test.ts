import { expect } from "earl";
import { after, before, describe, it } from "node:test";
import { setTimeout as delay } from "node:timers/promises";
import { sendRequest, TestCluster } from "./test_cluster.ts";
import { testProtocol } from "./test_protocol.ts";

/** By now a front that nobody answers would take itself for alone. */
const ALONE_MS = 2_500;

const cluster = new TestCluster();

before(async () => {
  cluster.configure([{ prefix: "/plain/" }]);
  await cluster.addUpstream("a");
  await cluster.addTurnStores(3);
  for (let i = 0; i < 3; i++) await cluster.addFront();
  await cluster.waitUntilReady("/plain/x");
  while (!cluster.callerAddresses.every(await lists())) await delay(20);
});

async function readDirectory(): Promise<string> {
  const address = String(cluster.directoryAddresses[0]);
  return (await sendRequest(address, testProtocol.directoryPath)).body;
}

/** Returns whether the first front's directory lists an address. */
async function lists(): Promise<(address: string) => boolean> {
  const body = await readDirectory();
  return (address) => body.includes(`"${address}"`);
}

after(() => cluster.close());

describe("front that stops", () => {
  // Guards against callers that are sent to a front that is about to end.
  it("goes on listing the other fronts after it has left the registry", async () => {
    const stopped = cluster.fronts[0]?.stop();
    cluster.store.delete("fleet/hosts/front-0");
    await delay(ALONE_MS);
    const listed = cluster.callerAddresses.filter(await lists());
    expect(listed).toEqual(cluster.callerAddresses.slice(1));
    await stopped;
  });
});
