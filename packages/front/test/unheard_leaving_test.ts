import { expect } from "earl";
import { beforeEach, describe, it } from "node:test";
import {
  acceptingIds,
  createUpstreamEntry,
  upstreamKey,
  WatcherFleet,
  type WatchingFront,
} from "./watcher_fleet.ts";

let fleet: WatcherFleet;
let reader: WatchingFront;
let seldom: WatchingFront;

function putEntry(id: string, isDraining = false): void {
  fleet.store.put(upstreamKey(id), createUpstreamEntry(id, { isDraining }));
}

function removeEntry(id: string): void {
  fleet.store.delete(upstreamKey(id));
}

/** A reader and a front that relies on its news; both know u1 and u2. */
beforeEach(async () => {
  fleet = new WatcherFleet(["reader", "seldom"]);
  [reader, seldom] = fleet.fronts as [WatchingFront, WatchingFront];
  putEntry("u1");
  putEntry("u2");
  await fleet.start();
  fleet.deliverNews();
});

describe("what a reader of the store learns from a list", () => {
  // Guards against DRAIN: siblings never heard what a list had shown.
  it("is told to siblings when an upstream drains", async () => {
    putEntry("u1", true);
    fleet.store.compact();
    await fleet.poll(reader);
    fleet.deliverNews();
    expect([acceptingIds(reader), acceptingIds(seldom)])
      .toEqual([["u2"], ["u2"]]);
  });

  // Guards against DRAIN: the same for a list that replaces an old watch.
  it("is told to siblings after a watch without a change for long", async () => {
    putEntry("u1", true);
    await fleet.end(reader, "outdated");
    fleet.deliverNews();
    expect(acceptingIds(seldom)).toEqual(["u2"]);
  });

  // Guards against DRAIN: the same for the first list of a process.
  it("is told to siblings after a start", async () => {
    const late = new WatcherFleet(["reader", "seldom"]);
    const [starting, other] = late.fronts as [WatchingFront, WatchingFront];
    late.store.put(upstreamKey("u1"), createUpstreamEntry("u1"));
    other.watcher.start(other.readings);
    await late.settle();
    const draining = createUpstreamEntry("u1", { isDraining: true });
    late.store.put(upstreamKey("u1"), draining);
    starting.watcher.start(starting.readings);
    await late.settle();
    late.deliverNews();
    expect(acceptingIds(other)).toEqual([]);
  });

  // Guards against DRAIN: a removal in a gap of the history.
  it("is told to siblings when an entry is missing", async () => {
    removeEntry("u1");
    fleet.store.compact();
    await fleet.poll(reader);
    await fleet.advance(200);
    fleet.deliverNews();
    expect([acceptingIds(reader), acceptingIds(seldom)])
      .toEqual([["u2"], ["u2"]]);
  });

  // Guards against DRAIN: the removal had the revision of the old entry.
  it("reaches siblings that know the entry's last revision", async () => {
    putEntry("u1");
    await fleet.poll(reader, seldom);
    removeEntry("u1");
    fleet.store.compact();
    await fleet.poll(reader);
    await fleet.advance(2_400);
    fleet.deliverNews();
    expect(acceptingIds(seldom)).toEqual(["u2"]);
  });

  // Guards against DRAIN: a stale list brought back what had been removed.
  it("takes nothing back if the list is stale", async () => {
    putEntry("u1", true);
    removeEntry("u2");
    await fleet.poll(reader);
    fleet.deliverNews();
    for (const front of [reader, seldom]) {
      front.readings.staleBy = 2;
      await fleet.end(front, "outdated");
      expect(acceptingIds(front)).toEqual([]);
    }
  });

  // Guards against DRAIN: a removal that a list had shown was undone.
  it("takes nothing back if a later list is stale", async () => {
    removeEntry("u1");
    fleet.store.compact();
    await fleet.poll(reader);
    reader.readings.staleBy = 1;
    await fleet.end(reader, "outdated");
    await fleet.advance(2_400);
    expect(acceptingIds(reader)).toEqual(["u2"]);
  });
});

describe("a change that a front has read itself", () => {
  // Guards against DRAIN: news ended at fronts that knew them from the store.
  it("is still passed on once when a sibling tells of it", async () => {
    removeEntry("u1");
    await fleet.poll(seldom);
    const change = { kind: "remove", id: "u1", revision: 3 } as const;
    expect(seldom.watcher.applyChange(change)).toEqual(true);
    expect(seldom.watcher.applyChange(change)).toEqual(false);
    expect(acceptingIds(seldom)).toEqual(["u2"]);
  });

  // Guards against DRAIN: the readers were gone before they told of a change.
  it("is announced when the front becomes a reader", async () => {
    putEntry("u1", true);
    await fleet.poll(seldom);
    expect(seldom.announced).toEqual([]);
    seldom.reading = "reader";
    await fleet.advance(200);
    expect(seldom.announced.map((it) => it.kind)).toEqual(["put"]);
    fleet.deliverNews();
    expect(acceptingIds(reader)).toEqual(["u2"]);
  });

  it("is not announced at the start unless the upstream leaves", () => {
    expect(reader.announced).toEqual([]);
  });
});
