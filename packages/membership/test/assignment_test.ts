import { expect } from "earl";
import { describe, it } from "node:test";
import {
  chooseHolders,
  chooseLinkTargets,
  createProgramId,
  type HostRecord,
  isReplaceable,
  pacedIntervalMs,
  preferredOwner,
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
  it("reassigns only the shards of a removed host", () => {
    const hosts = createHosts(8, 3);
    const remaining = hosts.slice(1);
    for (let shard = 0; shard < SHARD_COUNT; shard++) {
      const before = preferredOwner(shard, hosts);
      const after = preferredOwner(shard, remaining);
      if (before?.host !== "entry-0") expect(after).toEqual(before);
    }
  });

  it("assigns no shard to a leaving host", () => {
    const hosts = createHosts(3, 3);
    hosts[0] = { ...hosts[0] as HostRecord, state: "leaving" };
    for (let shard = 0; shard < SHARD_COUNT; shard++) {
      expect(preferredOwner(shard, hosts)?.host).not.toEqual("entry-0");
    }
  });
});

describe("chooseHolders", () => {
  it("prefers data centres other than the owner's", () => {
    const hosts = createHosts(9, 3);
    const owner = hosts[0] as HostRecord;
    const holders = chooseHolders(5, { owner, hosts, copies: 2 });
    expect(new Set(holders.map((it) => it.dataCentre)))
      .toEqual(new Set(["dc-1", "dc-2"]));
  });

  it("never chooses the owner", () => {
    const hosts = createHosts(2, 1);
    const owner = hosts[0] as HostRecord;
    const holders = chooseHolders(5, { owner, hosts, copies: 3 });
    expect(holders.map((it) => it.host)).toEqual(["entry-1"]);
  });
});

describe("isReplaceable", () => {
  const unreachableHost = {
    hasLease: false,
    storeReachable: true,
    silentMs: 10_000,
    isHeardByOthers: false,
  };

  it("requires an expired lease and that no sibling can reach the host", () => {
    expect(isReplaceable(unreachableHost)).toEqual(true);
    expect(isReplaceable({ ...unreachableHost, hasLease: true })).toEqual(
      false,
    );
    expect(isReplaceable({ ...unreachableHost, silentMs: 100 })).toEqual(false);
    expect(isReplaceable({ ...unreachableHost, isHeardByOthers: true }))
      .toEqual(
        false,
      );
    expect(isReplaceable({ ...unreachableHost, storeReachable: false }))
      .toEqual(false);
  });
});

describe("link targets of a daemon", () => {
  it("limits the number of links in a large fleet", () => {
    const hosts = createHosts(330, 7);
    const targets = chooseLinkTargets(hosts[0] as HostRecord, hosts, 16);
    expect(targets.length).toEqual(16);
  });
});

describe("pacedIntervalMs", () => {
  it("limits the call rate of the fleet", () => {
    const intervalMs = pacedIntervalMs(1_000, 330);
    expect(330 * 1_000 / intervalMs <= 100).toEqual(true);
    expect(pacedIntervalMs(1_000, 8)).toEqual(1_000);
  });
});

describe("shardOfProgram", () => {
  it("returns the shard that a program id encodes", () => {
    expect(shardOfProgram(createProgramId(63, "abc"))).toEqual(63);
  });

  it("returns undefined for a malformed id or an unknown shard", () => {
    for (const id of ["p40-a", "pzz-a", "p01", "", "p01-A"]) {
      expect(shardOfProgram(id)).toEqual(undefined);
    }
  });
});
