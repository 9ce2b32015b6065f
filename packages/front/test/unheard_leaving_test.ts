import { expect } from "earl";
import { beforeEach, describe, it } from "node:test";
import {
  acceptingIds,
  createUpstreamEntry,
  upstreamKey,
  WatcherFleet,
  type WatchingFront,
} from "./watcher_fleet.ts";

/** An entry that may have lapsed is used for this long, and a sweep more. */
const LAPSE_GRACE_MS = 2_400;
/** Outage after which entries may have lapsed. */
const LONG_OUTAGE_MS = 2_500;
/** Longest time until a front tries to reach the store again. */
const RETRY_MS = 800;

let fleet: WatcherFleet;
let reader: WatchingFront;
let seldom: WatchingFront;

function putEntry(id: string, isDraining = false): void {
  fleet.store.put(upstreamKey(id), createUpstreamEntry(id, { isDraining }));
}

function removeEntry(id: string): void {
  fleet.store.delete(upstreamKey(id));
}

/** Cuts a front off from the store for long, while `fn` makes changes. */
async function cutOffDuring(front: WatchingFront, fn: () => void) {
  front.readings.cutOff();
  await fleet.advance(LONG_OUTAGE_MS);
  fn();
  front.readings.isCutOff = false;
  await fleet.advance(RETRY_MS);
  await fleet.poll(front);
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

describe("an upstream that drained before its entry went missing", () => {
  // Guards against DRAIN: of several changes read at once only the last counted.
  it("gets nothing more from a front that reads seldom", async () => {
    putEntry("u1", true);
    removeEntry("u1");
    await fleet.poll(seldom);
    expect(acceptingIds(seldom)).toEqual(["u2"]);
  });

  // Guards against DRAIN: as above, where the entry may have lapsed.
  it("gets nothing more from a front that was cut off", async () => {
    await cutOffDuring(reader, () => {
      putEntry("u1", true);
      removeEntry("u1");
    });
    expect(acceptingIds(reader)).toEqual(["u2"]);
  });
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
    await fleet.advance(LAPSE_GRACE_MS);
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
    await fleet.advance(LAPSE_GRACE_MS);
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

describe("a front that cannot reach the store", () => {
  // Guards against DRAIN: the removal was not part of a sibling's list.
  it("learns from a sibling's list what was removed", async () => {
    seldom.readings.cutOff();
    removeEntry("u1");
    await fleet.poll(reader);
    fleet.ask(seldom, reader);
    expect(acceptingIds(seldom)).toEqual(["u2"]);
  });

  // Guards against DRAIN: the same, long after the removal.
  it("learns what was removed some time ago", async () => {
    seldom.readings.cutOff();
    removeEntry("u1");
    await fleet.poll(reader);
    await fleet.advance(60_000);
    putEntry("u2");
    await fleet.poll(reader);
    fleet.ask(seldom, reader);
    expect(acceptingIds(seldom)).toEqual(["u2"]);
  });

  // Guards against ROUTE: an unusable entry was not part of a sibling's list.
  it("learns which entries became unusable", async () => {
    seldom.readings.cutOff();
    fleet.store.put(upstreamKey("u1"), "no entry");
    await fleet.poll(reader);
    fleet.ask(seldom, reader);
    expect(acceptingIds(seldom)).toEqual(["u2"]);
  });

  // Guards against DRAIN: the entry had the revision of its removal.
  it("lets go what it took over when it reads the removal itself", async () => {
    seldom.readings.cutOff();
    await cutOffDuring(reader, () => removeEntry("u1"));
    fleet.ask(seldom, reader);
    expect(acceptingIds(seldom)).toEqual(["u1", "u2"]);
    seldom.readings.isCutOff = false;
    await fleet.advance(RETRY_MS);
    await fleet.poll(seldom);
    await fleet.advance(LAPSE_GRACE_MS);
    expect(acceptingIds(seldom)).toEqual(["u2"]);
  });

  // Guards against DRAIN: a removal was undone at an equal revision.
  it("takes nothing back that it knows to be removed", async () => {
    const list = structuredClone(reader.watcher.list());
    removeEntry("u1");
    await fleet.poll(reader);
    reader.readings.cutOff();
    reader.watcher.mergeFromSibling(list);
    reader.watcher.mergeFromSibling({ ...list, revisions: [3, 3] });
    expect(acceptingIds(reader)).toEqual(["u2"]);
  });

  it("keeps a lapsed entry while a sibling does", async () => {
    seldom.readings.cutOff();
    await cutOffDuring(reader, () => removeEntry("u1"));
    fleet.ask(seldom, reader);
    await fleet.advance(1_000);
    expect(acceptingIds(seldom)).toEqual(["u1", "u2"]);
    await fleet.advance(LAPSE_GRACE_MS);
    fleet.ask(seldom, reader);
    expect(acceptingIds(seldom)).toEqual(["u2"]);
  });

  it("keeps an entry that is newer than a sibling's list", async () => {
    const list = structuredClone(reader.watcher.list());
    putEntry("u3");
    await fleet.poll(seldom);
    seldom.readings.cutOff();
    seldom.watcher.mergeFromSibling(list);
    expect(acceptingIds(seldom)).toEqual(["u1", "u2", "u3"]);
  });

  it("heeds the news of siblings", async () => {
    seldom.readings.cutOff();
    removeEntry("u1");
    putEntry("u2", true);
    await fleet.poll(reader);
    fleet.deliverNews();
    expect(acceptingIds(seldom)).toEqual([]);
  });
});

describe("an entry that is deleted", () => {
  // Guards against DRAIN: it was taken for lapsed soon after an outage.
  it("is gone if it was written after the outage", async () => {
    await cutOffDuring(reader, () => putEntry("u2"));
    putEntry("u1");
    await fleet.poll(reader);
    removeEntry("u1");
    await fleet.poll(reader);
    expect(acceptingIds(reader)).toEqual(["u2"]);
    expect(reader.announced.map((it) => it.kind)).toEqual(["remove"]);
  });

  // Guards against DRAIN: the same if both changes are read together.
  it("is gone if it was written after the outage and read late", async () => {
    await cutOffDuring(reader, () => putEntry("u2"));
    putEntry("u1");
    removeEntry("u1");
    await fleet.poll(reader);
    expect(acceptingIds(reader)).toEqual(["u2"]);
  });

  // Guards against DRAIN: a lapsed entry that was back and left stayed missing.
  it("is gone if it was back after it had lapsed", async () => {
    await cutOffDuring(reader, () => removeEntry("u1"));
    putEntry("u1");
    removeEntry("u1");
    await fleet.poll(reader);
    expect(acceptingIds(reader)).toEqual(["u2"]);
  });

  it("may have lapsed if it was written before the outage", async () => {
    await cutOffDuring(reader, () => {
      putEntry("u1");
      removeEntry("u1");
    });
    expect(acceptingIds(reader)).toEqual(["u1", "u2"]);
    putEntry("u1");
    await fleet.poll(reader);
    await fleet.advance(LAPSE_GRACE_MS);
    expect(acceptingIds(reader)).toEqual(["u1", "u2"]);
  });

  // Guards against DRAIN: the news came after the front had read the deletion.
  it("is gone as soon as a reader says so", async () => {
    removeEntry("u1");
    await fleet.poll(seldom);
    expect(acceptingIds(seldom)).toEqual(["u1", "u2"]);
    await fleet.poll(reader);
    fleet.deliverNews();
    expect(acceptingIds(seldom)).toEqual(["u2"]);
  });

  // Guards against DRAIN: the same after a list later than the deletion.
  it("is gone as soon as a reader says so, at an earlier revision", async () => {
    removeEntry("u1");
    putEntry("u2");
    await fleet.end(seldom, "outdated");
    await fleet.poll(reader);
    fleet.deliverNews();
    expect(acceptingIds(seldom)).toEqual(["u2"]);
  });

  // Guards against upstreams that all fronts drop after an outage.
  it("may have lapsed if the front started in the outage", async () => {
    const starting = new WatcherFleet(["reader", "reader"]);
    const [first, late] = starting.fronts as [WatchingFront, WatchingFront];
    starting.store.put(upstreamKey("u1"), createUpstreamEntry("u1"));
    first.watcher.start(first.readings);
    await starting.settle();
    late.readings.isCutOff = true;
    late.watcher.start(late.readings);
    starting.ask(late, first);
    await starting.advance(LONG_OUTAGE_MS);
    starting.store.delete(upstreamKey("u1"));
    late.readings.isCutOff = false;
    await starting.advance(RETRY_MS);
    expect(acceptingIds(late)).toEqual(["u1"]);
    expect(late.announced).toEqual([]);
    await starting.advance(LAPSE_GRACE_MS);
    expect(acceptingIds(late)).toEqual([]);
  });
});
