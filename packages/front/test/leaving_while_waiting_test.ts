import { UpstreamRegistry } from "@toucantrestle/routing";
import { expect } from "earl";
import { connect, Socket } from "node:net";
import { after, before, describe, it } from "node:test";
import { CallRunner } from "../src/call_runner.ts";
import { TestCluster } from "./test_cluster.ts";
import { createUpstreamEntry } from "./watcher_fleet.ts";

const SENT = "the request was sent";

/** Runs a call until it is sent; `u1` leaves while the call waits. */
async function runCall(
  wait: "for the origin" | "for a token",
  leave: (registry: UpstreamRegistry) => void,
): Promise<string[]> {
  const registry = new UpstreamRegistry({ onInstanceGone: () => {} });
  for (const id of ["u1", "u2"]) registry.put(createUpstreamEntry(id));
  const sentTo: string[] = [];
  const waitHere = (name: typeof wait) => {
    if (name === wait) leave(registry);
    return Promise.resolve(true);
  };
  const call = { isAbandoned: false, head: {}, route: {} };
  const runner = new CallRunner(call as never, {
    choice: {
      choose: () =>
        Promise.resolve(
          registry.all().find((it) => registry.acceptsRequests(it)),
        ),
      hasEvents: false,
      /** Asked for first when an attempt starts. */
      uncachedTokens() {
        throw new Error(SENT);
      },
    } as never,
    turn: { recordOrigin: () => waitHere("for the origin") } as never,
    quota: { useToken: () => waitHere("for a token") } as never,
    opts: {
      upstreamRegistry: registry,
      paths: {
        pathTo: (it: { entry: { id: string } }) => {
          sentTo.push(it.entry.id);
          return { kind: "direct", send: () => undefined };
        },
      },
      timer: { monotonicNow: () => 0 },
    } as never,
  });
  await expect(runner.run()).toBeRejectedWith(SENT);
  return sentTo.slice(-1);
}

const LEAVE: Record<string, (registry: UpstreamRegistry) => void> = {
  "its entry says that it drains": (registry) => {
    registry.put(createUpstreamEntry("u1", { isDraining: true }));
  },
  "it says so itself": (registry) => {
    registry.notices.record({
      upstream: "u1",
      startedAt: 0,
      at: 0,
      isLeaving: true,
      maxRequestsPerS: undefined,
    });
  },
  "its entry is removed": (registry) => registry.remove("u1"),
};

// Guards against DRAIN: a request that had waited was sent all the same.
describe("a call that waits after the choice of an upstream", () => {
  for (const wait of ["for the origin", "for a token"] as const) {
    for (const [how, leave] of Object.entries(LEAVE)) {
      it(`${wait} is sent to another one when ${how}`, async () => {
        expect(await runCall(wait, leave)).toEqual(["u2"]);
      });
    }
  }
});

describe("a call that waits for a new connection", () => {
  const cluster = new TestCluster();
  /** Connections that wait, with their addresses. */
  const waiting: { address: string; open: () => void }[] = [];
  let holds = false;

  function dial(address: string): Socket {
    const { hostname: host, port } = new URL(`tcp://${address}`);
    if (!holds) return connect({ host, port: Number(port) });
    const socket = new Socket();
    const open = () => socket.connect({ host, port: Number(port) });
    waiting.push({ address, open });
    return socket;
  }

  before(async () => {
    cluster.configure([
      { prefix: "/plain/", services: [{ service: "p", weight: 1 }] },
      { prefix: "/once/", kind: "non_idempotent", maxRuns: 1 },
    ]);
    await cluster.addTurnStores(3);
    await cluster.addUpstream("p", undefined, { service: "p" });
    for (const id of ["u1", "u2"]) await cluster.addUpstream(id);
    await cluster.addFront({ dial });
    await cluster.waitUntilReady("/plain/x");
  });

  after(() => cluster.close());

  // Guards against DRAIN: the request was sent as soon as there was a connection.
  it("is sent to another upstream when this one drains meanwhile", async () => {
    holds = true;
    const response = cluster.call("/once/a", { headers: { "x-id": "a" } });
    while (waiting.length === 0) await new Promise(setImmediate);
    holds = false;
    const [first] = waiting;
    const left = ["u1", "u2"].find((it) =>
      cluster.entryOf(it).address === first?.address
    );
    const entry = { ...cluster.entryOf(String(left)), isDraining: true };
    cluster.store.put(`upstreams/${left}`, entry);
    first?.open();
    const { status, headers } = await response;
    expect([status, headers["x-mark"]])
      .toEqual([200, left === "u1" ? "u2" : "u1"]);
    expect(cluster.received.length).toEqual(1);
  });
});
