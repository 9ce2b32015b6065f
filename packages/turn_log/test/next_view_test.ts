import { expect } from "earl";
import { describe, it } from "node:test";
import { decideView, type HostState } from "../src/mod.ts";
import { createHost, createView } from "./fixtures.ts";

function createState(id: string, opts: Partial<HostState> = {}): HostState {
  return {
    host: createHost(id),
    isReachable: true,
    silentMs: 0,
    isComplete: true,
    isRetiring: false,
    ...opts,
  };
}

const LOST = { isReachable: false, silentMs: 60_000 };

function decideIds(hosts: HostState[], ids = ["a", "b", "c"]) {
  const next = decideView({ current: createView({ ids }), hosts });
  return next?.members.map((it) => it.id);
}

describe("the next view", () => {
  it("stays while a member is silent and no other could replace it", () => {
    const hosts = [createState("a"), createState("b"), createState("c", LOST)];
    expect(decideIds(hosts)).toEqual(undefined);
  });

  it("replaces a silent member when a new host has come", () => {
    const hosts = [
      createState("a"),
      createState("b"),
      createState("c", LOST),
      createState("d"),
    ];
    expect(decideIds(hosts)).toEqual(["a", "b", "d"]);
  });

  it("drops a member that stays silent where enough others remain", () => {
    const ids = ["a", "b", "c", "d"];
    const hosts = ids.map((it) => createState(it));
    hosts[0] = createState("a", { isReachable: false, silentMs: 2_000 });
    expect(decideIds(hosts, ids)).toEqual(undefined);
    hosts[0] = createState("a", LOST);
    expect(decideIds(hosts, ids)).toEqual(["b", "c", "d"]);
  });

  it("replaces an emptied host before the loss of its disk shows", () => {
    const emptied = createState("c2");
    emptied.host = { ...emptied.host, host: "host-c" };
    const hosts = [...["a", "b", "c"].map((it) => createState(it)), emptied];
    expect(decideIds(hosts)).toEqual(["a", "b", "c2"]);
  });

  it("adds a host and names the members before", () => {
    const next = decideView({
      current: createView(),
      hosts: ["a", "b", "c", "d"].map((it) => createState(it)),
    });
    expect(next?.number).toEqual(2);
    expect(next?.former.map((it) => it.id)).toEqual(["a", "b", "c"]);
  });

  it("replaces a host whose disk was emptied", () => {
    const emptied = createState("c2");
    emptied.host = { ...emptied.host, host: "host-c" };
    const hosts = [createState("a"), createState("b"), emptied];
    expect(decideIds(hosts)).toEqual(["a", "b", "c2"]);
  });

  it("waits while a reachable member still copies", () => {
    const hosts = [
      createState("a"),
      createState("b", { isComplete: false }),
      createState("c"),
      createState("d"),
    ];
    expect(decideIds(hosts)).toEqual(undefined);
  });

  it("leaves out a member that is to be emptied", () => {
    const hosts = ["a", "b", "c", "d"].map((it) => createState(it));
    hosts[3]!.isRetiring = true;
    expect(decideIds(hosts, ["a", "b", "c", "d"])).toEqual(["a", "b", "c"]);
  });

  it("moves nothing when more members are lost than may be", () => {
    const hosts = [
      createState("a"),
      createState("b", LOST),
      createState("c", LOST),
      createState("d"),
    ];
    expect(decideIds(hosts)).toEqual(undefined);
  });
});
