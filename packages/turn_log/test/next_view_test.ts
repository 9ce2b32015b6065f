import { expect } from "earl";
import { describe, it } from "node:test";
import { decideNextView, type HostState } from "../src/mod.ts";
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

const UNREACHABLE = { isReachable: false, silentMs: 60_000 };

function nextIds(hosts: HostState[], ids = ["a", "b", "c"]) {
  const next = decideNextView({ current: createView({ ids }), hosts });
  return next?.members.map((it) => it.id);
}

describe("the decision on the next view", () => {
  it("keeps the view while an unreachable member has no replacement", () => {
    const hosts = [
      createState("a"),
      createState("b"),
      createState("c", UNREACHABLE),
    ];
    expect(nextIds(hosts)).toEqual(undefined);
  });

  it("replaces an unreachable member with a new host", () => {
    const hosts = [
      createState("a"),
      createState("b"),
      createState("c", UNREACHABLE),
      createState("d"),
    ];
    expect(nextIds(hosts)).toEqual(["a", "b", "d"]);
  });

  it("removes a member that stays unreachable if enough members remain", () => {
    const ids = ["a", "b", "c", "d"];
    const hosts = ids.map((it) => createState(it));
    hosts[0] = createState("a", { isReachable: false, silentMs: 2_000 });
    expect(nextIds(hosts, ids)).toEqual(undefined);
    hosts[0] = createState("a", UNREACHABLE);
    expect(nextIds(hosts, ids)).toEqual(["b", "c", "d"]);
  });

  it("replaces an emptied host while its old disk counts as reachable", () => {
    const emptied = createState("c2");
    emptied.host = { ...emptied.host, host: "host-c" };
    const hosts = [...["a", "b", "c"].map((it) => createState(it)), emptied];
    expect(nextIds(hosts)).toEqual(["a", "b", "c2"]);
  });

  it("adds a host and lists the former members", () => {
    const next = decideNextView({
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
    expect(nextIds(hosts)).toEqual(["a", "b", "c2"]);
  });

  it("keeps the view while a reachable member is still copying", () => {
    const hosts = [
      createState("a"),
      createState("b", { isComplete: false }),
      createState("c"),
      createState("d"),
    ];
    expect(nextIds(hosts)).toEqual(undefined);
  });

  it("removes a retiring member", () => {
    const hosts = ["a", "b", "c", "d"].map((it) => createState(it));
    hosts[3]!.isRetiring = true;
    expect(nextIds(hosts, ["a", "b", "c", "d"])).toEqual(["a", "b", "c"]);
  });

  it("keeps the view when more members are lost than tolerated", () => {
    const hosts = [
      createState("a"),
      createState("b", UNREACHABLE),
      createState("c", UNREACHABLE),
      createState("d"),
    ];
    expect(nextIds(hosts)).toEqual(undefined);
  });
});
