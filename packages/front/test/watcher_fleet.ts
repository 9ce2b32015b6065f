import { createNoopLoggers } from "@toucantrestle/log";
import { type UpstreamEntry, UpstreamRegistry } from "@toucantrestle/routing";
import { createManualTimer } from "@toucantrestle/timer";
import type { UpstreamChange } from "../src/protocol.ts";
import { UpstreamWatcher } from "../src/upstream_watcher.ts";
import { testProtocol } from "./test_protocol.ts";
import { StoreReadings, WatchedStore } from "./watched_store.ts";

/** How a front of a `WatcherFleet` reads the store. */
export type ReadingKind = "reader" | "seldom";

/** The part of a front that knows the upstreams. */
export interface WatchingFront {
  readings: StoreReadings;
  registry: UpstreamRegistry;
  watcher: UpstreamWatcher;
  /** Changes that this front has announced itself. */
  announced: UpstreamChange[];
  /** How it reads the store; a test may change it. */
  reading: ReadingKind;
}

interface Sent {
  change: UpstreamChange;
  from: WatchingFront;
}

/** Fronts that read one store and send each other news over perfect links. */
export class WatcherFleet {
  readonly store = new WatchedStore();
  readonly timer = createManualTimer();
  readonly fronts: WatchingFront[];
  #sent: Sent[] = [];

  constructor(readings: ReadingKind[]) {
    this.fronts = readings.map((it) => this.#createFront(it));
  }

  /** Starts all fronts and waits until they have read the store. */
  async start(): Promise<void> {
    for (const { watcher, readings } of this.fronts) watcher.start(readings);
    await this.settle();
  }

  /** Lets calls to the store that are in progress return. */
  async settle(): Promise<void> {
    for (let i = 0; i < 3; i++) await new Promise(setImmediate);
  }

  /** Lets time pass, with what fronts do at that time. */
  async advance(ms: number): Promise<void> {
    this.timer.advance(ms);
    await this.settle();
  }

  /** Lets watches read what has changed, and their lists return. */
  async poll(...fronts: WatchingFront[]): Promise<void> {
    for (const { readings } of fronts) readings.poll();
    await this.settle();
  }

  /** Ends a watch and waits for what the front does then. */
  async end(
    front: WatchingFront,
    reason: "lost" | "compacted" | "outdated",
  ): Promise<void> {
    front.readings.end(reason);
    await this.settle();
  }

  /** Delivers all news, and those that are passed on because of them. */
  deliverNews(): void {
    while (this.#sent.length > 0) {
      const sent = this.#sent;
      this.#sent = [];
      for (const { change, from } of sent) this.#deliver(change, from);
    }
  }

  /** A front that lost the store asks a sibling. */
  ask(front: WatchingFront, sibling: WatchingFront): void {
    const list = structuredClone(sibling.watcher.list());
    front.watcher.mergeFromSibling(list);
  }

  #deliver(change: UpstreamChange, from: WatchingFront): void {
    for (const front of this.fronts) {
      if (front === from) continue;
      const isNew = front.watcher.applyChange(structuredClone(change));
      if (isNew) this.#sent.push({ change, from: front });
    }
  }

  #createFront(reading: ReadingKind): WatchingFront {
    const registry = new UpstreamRegistry({ onInstanceGone: () => {} });
    const announced: UpstreamChange[] = [];
    const watcher = new UpstreamWatcher({
      protocol: testProtocol,
      upstreamRegistry: registry,
      isStoreReader: () => front.reading === "reader",
      onChange: (change) => {
        announced.push(change);
        this.#sent.push({ change, from: front });
      },
      timer: this.timer,
      log: createNoopLoggers()("upstream"),
    });
    const readings = new StoreReadings(this.store);
    const front: WatchingFront = {
      readings,
      registry,
      watcher,
      announced,
      reading,
    };
    return front;
  }
}

/** Creates the entry of an upstream. */
export function createUpstreamEntry(
  id: string,
  opts: Partial<UpstreamEntry> = {},
): UpstreamEntry {
  return {
    id,
    service: "s",
    address: "10.0.0.1:80",
    dataCentre: "a",
    slots: 1,
    isDraining: false,
    coldLeftMs: 0,
    softwareVersion: "v1",
    startedAt: 0,
    ...opts,
  };
}

/** Returns the store key of an upstream. */
export function upstreamKey(id: string): string {
  return `${testProtocol.upstreamPrefix}${id}`;
}

/** Returns the upstreams to which a front sends new requests. */
export function acceptingIds({ registry }: WatchingFront): string[] {
  return registry.all().filter((it) => registry.acceptsRequests(it))
    .map((it) => it.entry.id).sort();
}
