import { expect } from "earl";
import { describe, it } from "node:test";
import {
  chooseHolders,
  type HostRecord,
  isReplaceable,
  linkTargets,
  pacedIntervalMs,
  preferredOwner,
  programId,
  SHARD_COUNT,
  shardOfProgram,
} from "../src/mod.ts";

function createHosts(count: number, dataCentres: number): HostRecord[] {
  return Array.from({ length: count }, (_, index) => ({
    runId: `run-${index}`,
    host: `entry-${index}`,
    dataCentre: `dc-${index % dataCentres}`,
    address: `10.0.0.${index}:1`,
    siblingAddress: `10.0.0.${index}:2`,
    state: "live",
  }));
}

describe("shard ownership", () => {
  it("moves only the shards of a host that has gone", () => {
    const hosts = createHosts(8, 3);
    const rest = hosts.slice(1);
    for (let shard = 0; shard < SHARD_COUNT; shard++) {
      const before = preferredOwner(shard, hosts);
      const after = preferredOwner(shard, rest);
      if (before?.host !== "entry-0") expect(after).toEqual(before);
    }
  });

  it("gives no shard to a host that is leaving", () => {
    const hosts = createHosts(3, 3);
    hosts[0] = { ...hosts[0] as HostRecord, state: "leaving" };
    for (let shard = 0; shard < SHARD_COUNT; shard++) {
      expect(preferredOwner(shard, hosts)?.host).not.toEqual("entry-0");
    }
  });
});

describe("holders", () => {
  it("stand in other data centres than the owner while there are some", () => {
    const hosts = createHosts(9, 3);
    const owner = hosts[0] as HostRecord;
    const holders = chooseHolders(5, { owner, hosts, copies: 2 });
    expect(new Set(holders.map((it) => it.dataCentre)))
      .toEqual(new Set(["dc-1", "dc-2"]));
  });

  it("never include the owner", () => {
    const hosts = createHosts(2, 1);
    const owner = hosts[0] as HostRecord;
    const holders = chooseHolders(5, { owner, hosts, copies: 3 });
    expect(holders.map((it) => it.host)).toEqual(["entry-1"]);
  });
});

describe("replacing a host", () => {
  const dead = {
    hasLease: false,
    storeReachable: true,
    silentMs: 10_000,
    heardByOthers: false,
  };

  it("needs a lapsed lease and the silence of all siblings", () => {
    expect(isReplaceable(dead)).toEqual(true);
    expect(isReplaceable({ ...dead, hasLease: true })).toEqual(false);
    expect(isReplaceable({ ...dead, silentMs: 100 })).toEqual(false);
    expect(isReplaceable({ ...dead, heardByOthers: true })).toEqual(false);
    expect(isReplaceable({ ...dead, storeReachable: false })).toEqual(false);
  });
});

describe("links", () => {
  it("are bounded however many daemons there are", () => {
    const hosts = createHosts(330, 7);
    const targets = linkTargets(hosts[0] as HostRecord, hosts, 16);
    expect(targets.length).toEqual(16);
  });
});

describe("platform calls", () => {
  it("stay under a fixed rate for the fleet", () => {
    const intervalMs = pacedIntervalMs(1_000, 330);
    expect(330 * 1_000 / intervalMs <= 100).toEqual(true);
    expect(pacedIntervalMs(1_000, 8)).toEqual(1_000);
  });
});

describe("a program id", () => {
  it("names its shard", () => {
    expect(shardOfProgram(programId(63, "abc"))).toEqual(63);
  });

  it("is refused when no shard can have it", () => {
    for (const id of ["p40-a", "pzz-a", "p01", "", "p01-A"]) {
      expect(shardOfProgram(id)).toEqual(undefined);
    }
  });
});
