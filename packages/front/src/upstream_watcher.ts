import {
  type ConfigStore,
  listAndWatch,
  type StoreEvent,
  type StoreItem,
} from "@toucantrestle/config_store";
import type { Logger } from "@toucantrestle/log";
import {
  isUpstreamEntry,
  type UpstreamEntry,
  type UpstreamRegistry,
} from "@toucantrestle/routing";
import type { Timer } from "@toucantrestle/timer";
import type {
  MissingEntry,
  Protocol,
  UpstreamChange,
  UpstreamList,
} from "./protocol.ts";
import { idOf, RecentChanges } from "./recent_changes.ts";
import { StoreOutages } from "./store_outages.ts";
import {
  isSameEntry,
  lastOfEachKey,
  UpstreamEntries,
} from "./upstream_entries.ts";
import { UpstreamRevisions } from "./upstream_revisions.ts";

const SWEEP_INTERVAL_MS = 200;
/** Where a front has learned a change of an upstream from, for the log. */
type ChangeSource = ReadSource | "sibling";
type ReadSource = "list" | "event";

/** Options of `UpstreamWatcher`. */
export interface UpstreamWatcherOptions {
  protocol: Protocol;
  upstreamRegistry: UpstreamRegistry;
  /** Whether this front reads the store often; siblings rely on its news. */
  isStoreReader: () => boolean;
  /** Called with a change that siblings may not know yet. */
  onChange: (change: UpstreamChange) => void;
  /** Returns the longest delay between two retries of the watch, in ms. */
  maxRetryMs?: () => number;
  timer: Timer;
  log: Logger;
}

/**
 * Updates the registry of upstreams from the platform's store and from the
 * changes that siblings have read there. The store's revisions order both.
 */
export class UpstreamWatcher {
  readonly #opts: UpstreamWatcherOptions;
  readonly #entries: UpstreamEntries;
  readonly #revisions = new UpstreamRevisions();
  readonly #outages: StoreOutages;
  readonly #recent: RecentChanges;
  /** All changes up to this revision of the store are known here. */
  #completeTo = 0;
  /** Whether this process has read a list. */
  #hasListed = false;
  #isReachable = false;
  #lastUpdateAt = 0;

  constructor(opts: UpstreamWatcherOptions) {
    this.#opts = opts;
    this.#entries = new UpstreamEntries(opts);
    this.#recent = new RecentChanges(opts.timer);
    this.#outages = new StoreOutages(opts.timer);
  }

  /** Time since the last snapshot or event from the store, in ms. */
  get ageMs(): number {
    return this.#opts.timer.monotonicNow() - this.#lastUpdateAt;
  }

  /** Whether the store is reachable. */
  get isReachable(): boolean {
    return this.#isReachable;
  }

  start(store: ConfigStore): void {
    const { protocol, timer, log, maxRetryMs } = this.#opts;
    listAndWatch({
      store,
      prefix: protocol.upstreamPrefix,
      timer,
      log,
      onSnapshot: (items, revision) => this.#applySnapshot(items, revision),
      onEvents: (events, revision) => this.#applyEvents(events, revision),
      onReachable: (isReachable) => {
        this.#isReachable = isReachable;
        this.#outages.track(isReachable);
      },
      ...(maxRetryMs && { maxRetryMs }),
    });
    timer.every(SWEEP_INTERVAL_MS, () => {
      this.#sweep();
      this.#announceRecent();
    });
  }

  /** Merges a sibling's upstreams; ignored while the store is reachable. */
  mergeFromSibling(list: UpstreamList): void {
    if (this.#isReachable) return;
    const { entries, revisions = [], changes = [], missing = [] } = list;
    entries.forEach((entry, i) => this.#mergeEntry(entry, revisions[i]));
    for (const change of changes) this.#merge(change);
    for (const it of missing) this.#mergeMissing(it);
    this.#removeUnlisted(list);
  }

  /** Returns the upstreams for a sibling that cannot reach the store. */
  list(): UpstreamList {
    const all = this.#opts.upstreamRegistry.all();
    const entries = all.filter((it) => !it.isSuspended).map((it) => it.entry);
    const suspended = all.filter((it) => it.isSuspended)
      .map(({ entry: { id } }) => ({
        kind: "suspend" as const,
        id,
        revision: this.#revisions.entry(id),
      }));
    const removed = this.#recent.all().filter((it) => it.kind === "remove");
    const changes = [...suspended, ...removed];
    const missing = all.filter((it) => it.missingSince !== undefined)
      .map(({ entry: { id } }) => ({ id, revision: this.revisionOf(id) }));
    return {
      entries,
      revisions: entries.map((it) => this.#revisions.entry(it.id)),
      ...(changes.length > 0 && { changes }),
      ...(missing.length > 0 && { missing }),
      ...(this.#completeTo > 0 && { completeTo: this.#completeTo }),
    };
  }

  /** Applies a sibling's change. Returns whether it must be passed on. */
  applyChange(change: UpstreamChange): boolean {
    const isUsable = change.kind !== "put" ||
      (isUpstreamEntry(change.entry) && !this.#isReplaced(change.entry));
    if (!isUsable) return false;
    this.#merge(change);
    // Others may rely on this front for what it knows from the store itself.
    return this.#recent.share(change);
  }

  /** Revision of the newest change of an upstream; 0 if none is known. */
  revisionOf(id: string): number {
    return this.#revisions.newest(id);
  }

  /** Returns the changes that became known here a short time ago. */
  recentChanges(): UpstreamChange[] {
    return this.#recent.all();
  }

  #merge(change: UpstreamChange): void {
    if (!this.#recordRevision(change)) return;
    this.#lastUpdateAt = this.#opts.timer.monotonicNow();
    if (this.#apply(change, "sibling")) this.#recent.add(change);
  }

  /** Merges an entry of a sibling's list; `revision` is missing from some. */
  #mergeEntry(entry: UpstreamEntry, revision: number | undefined): void {
    if (!isUpstreamEntry(entry)) return;
    // Neither a removal nor a restart that is known here is undone.
    const isNew = revision === undefined
      ? this.revisionOf(entry.id) === 0
      : this.#revisions.recordEntry(entry.id, revision);
    if (isNew) this.#upsert(entry, "sibling");
  }

  #mergeMissing({ id, revision }: MissingEntry): void {
    const { upstreamRegistry, timer } = this.#opts;
    if (!this.#revisions.recordAbsence(id, revision)) return;
    upstreamRegistry.markMissing(id, timer.monotonicNow());
  }

  /** Removes upstreams that a sibling would know if they were in the store. */
  #removeUnlisted({ entries, changes = [], completeTo = 0 }: UpstreamList) {
    const listed = new Set([
      ...entries.map((it) => it.id),
      ...changes.map((it) => it.id),
    ]);
    for (const { entry: { id } } of this.#opts.upstreamRegistry.all()) {
      if (listed.has(id)) continue;
      this.#merge({ kind: "remove", id, revision: completeTo });
    }
    this.#recordComplete(completeTo);
  }

  /** Records that all changes up to a revision are known here. */
  #recordComplete(revision: number): void {
    if (!Number.isSafeInteger(revision)) return;
    this.#completeTo = Math.max(this.#completeTo, revision);
  }

  #apply(change: UpstreamChange, source: ChangeSource): boolean {
    if (change.kind === "put") return this.#upsert(change.entry, source);
    if (change.kind === "suspend") return this.#suspend(change.id);
    if (change.kind !== "remove") return false;
    const isNew = this.#remove(change.id);
    if (isNew) this.#logChange(change.id, "removed", source);
    return isNew;
  }

  #logChange(id: string, change: string, source: ChangeSource): void {
    this.#opts.log.info(`upstream ${id}: ${change}`, {
      event: change,
      upstream: id,
      source,
      revision: this.revisionOf(id),
    });
  }

  #applySnapshot(items: StoreItem[], revision: number): void {
    const { upstreamRegistry, timer, log } = this.#opts;
    this.#lastUpdateAt = timer.monotonicNow();
    this.#entries.learnFrom(items);
    for (const item of items) this.#applyItem(item, "list");
    const listed = new Set(items.map((it) => this.#entries.idOfKey(it.key)));
    for (const { entry: { id } } of upstreamRegistry.all()) {
      if (!listed.has(id)) this.#applyAbsence(id, { revision, source: "list" });
    }
    this.#hasListed = true;
    this.#recordComplete(revision);
    this.#announceRecent();
    log.info(`${items.length} upstreams registered`);
  }

  #applyEvents(events: StoreEvent[], revision: number): void {
    this.#lastUpdateAt = this.#opts.timer.monotonicNow();
    this.#outages.recordRevision(revision);
    this.#recordComplete(revision);
    const last = new Set(lastOfEachKey(events));
    for (const event of events) {
      if (last.has(event)) this.#applyEvent(event);
      else this.#recordEvent(event);
    }
    this.#announceRecent();
  }

  /** Records an entry that was replaced or deleted since. */
  #recordEvent(event: StoreEvent): void {
    if (event.kind === "delete") return;
    const { key, value, modRevision } = event.item;
    // What left before its entry went missing is not used until it is back.
    const isDraining = this.#entries.parse(key, value)?.isDraining;
    if (isDraining) this.#applyItem(event.item, "event");
    else this.#revisions.recordEntry(this.#entries.idOfKey(key), modRevision);
  }

  #applyEvent(event: StoreEvent): void {
    if (event.kind === "put") return this.#applyItem(event.item, "event");
    const { key, revision } = event;
    this.#applyAbsence(this.#entries.idOfKey(key), {
      revision,
      source: "event",
    });
  }

  #applyItem({ key, value, modRevision }: StoreItem, source: ReadSource): void {
    const entry = this.#entries.parse(key, value);
    const id = this.#entries.idOfKey(key);
    const change: UpstreamChange = entry
      ? { kind: "put", entry, revision: modRevision }
      : { kind: "suspend", id, revision: modRevision };
    if (!this.#recordRevision(change) || !this.#apply(change, source)) return;
    // Siblings know what a front finds at its start, but perhaps not who leaves.
    if (this.#hasListed || entry?.isDraining) this.#recent.add(change);
  }

  /** Applies that the store has no entry of an upstream at a revision. */
  #applyAbsence(
    id: string,
    { revision, source }: { revision: number; source: ReadSource },
  ): void {
    const { upstreamRegistry, isStoreReader, log, timer } = this.#opts;
    if (!this.#revisions.recordAbsence(id, revision)) return;
    const known = upstreamRegistry.get(id);
    if (!known) return;
    const lapsedBy = this.#outages.lapsedBy(this.#revisions.entry(id));
    // A front that reads seldom does not see every outage of the store.
    const mayHaveLapsed = lapsedBy !== undefined || !isStoreReader();
    if (mayHaveLapsed && known.missingSince !== undefined) return;
    const event = source === "list" ? "missing" : "gone";
    log.info(`upstream ${id} was removed from the store`, {
      event,
      upstream: id,
      source,
      revision: this.revisionOf(id),
      mayHaveLapsed,
    });
    // An expired entry is removed unless it reappears soon after the outage.
    const missingSince = lapsedBy ?? timer.monotonicNow();
    if (mayHaveLapsed) upstreamRegistry.markMissing(id, missingSince);
    else this.#removeAbsent(id);
  }

  #sweep(): void {
    const { upstreamRegistry, timer, log } = this.#opts;
    if (!this.#isReachable) return;
    for (const id of upstreamRegistry.sweep(timer.monotonicNow())) {
      log.info(
        `upstream ${id} did not register again after a store outage; removed`,
        { event: "removed", upstream: id, revision: this.revisionOf(id) },
      );
      this.#removeAbsent(id);
    }
  }

  /** Removes an upstream whose entry is known to be gone for good. */
  #removeAbsent(id: string): void {
    this.#remove(id);
    this.#recent.add({ kind: "remove", id, revision: this.revisionOf(id) });
  }

  /**
   * Announces the changes that siblings may not know. They rely on the fronts
   * that read often; one that begins to do so may be the only one that has read
   * a change.
   */
  #announceRecent(): void {
    if (!this.#opts.isStoreReader()) return;
    for (const change of this.#recent.all()) {
      if (this.#recent.share(change)) this.#opts.onChange(change);
    }
  }

  /** Records the revision of a change. Returns whether it is the newest. */
  #recordRevision(change: UpstreamChange): boolean {
    const id = idOf(change);
    const { revision } = change;
    return change.kind === "remove"
      ? this.#revisions.recordAbsence(id, revision)
      : this.#revisions.recordEntry(id, revision);
  }

  /** Whether a later process of the upstream is known. */
  #isReplaced({ id, startedAt }: UpstreamEntry): boolean {
    const known = this.#opts.upstreamRegistry.get(id);
    return known !== undefined && !known.isInferred &&
      startedAt < known.entry.startedAt;
  }

  #suspend(id: string): boolean {
    this.#entries.reportInvalid(id);
    return this.#opts.upstreamRegistry.suspend(id);
  }

  #remove(id: string): boolean {
    const isKnown = this.#opts.upstreamRegistry.get(id) !== undefined;
    this.#opts.upstreamRegistry.remove(id);
    return isKnown;
  }

  /** Adds or updates an upstream. Returns whether more than a heartbeat changed. */
  #upsert(entry: UpstreamEntry, source: ChangeSource): boolean {
    const { upstreamRegistry, log } = this.#opts;
    const known = upstreamRegistry.get(entry.id);
    const before = known?.entry;
    const wasMissing = known?.missingSince !== undefined || known?.isSuspended;
    if (this.#isReplaced(entry)) return false;
    const change = upstreamRegistry.put(entry);
    // A list names all upstreams; those that are new in it are only counted.
    if (change && (change !== "new" || source !== "list")) {
      log.info(
        `upstream ${entry.id} of ${entry.service} at ${entry.address}: ${change}`,
        {
          event: change,
          upstream: entry.id,
          source,
          revision: this.revisionOf(entry.id),
        },
      );
    }
    return change !== undefined || wasMissing === true ||
      !isSameEntry(before, entry);
  }
}
