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
import { isDeepStrictEqual } from "node:util";
import { InvalidEntryLog } from "./invalid_entry_log.ts";
import type { Protocol, UpstreamChange, UpstreamList } from "./protocol.ts";

const SWEEP_INTERVAL_MS = 200;
/** Entries removed this soon after an outage may have expired leases. */
const LEASE_EXPIRY_WINDOW_MS = 2_000;
/** No lease expires during an outage shorter than this. */
const MIN_OUTAGE_MS = 2_000;
/** Siblings that connect are told the changes of this time. */
const RECENT_CHANGES_MS = 30_000;

/** Where a front has learned a change of an upstream from, for the log. */
type ChangeSource = "list" | "event" | "sibling";

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
  readonly #invalidEntries: InvalidEntryLog;
  /** Whether an upstream has stated when its process started. */
  #hasStartTimes = false;
  /** Revision of the newest change, by upstream id. */
  readonly #revisions = new Map<string, number>();
  /** Recent changes and when they became known here, by upstream id. */
  readonly #recent = new Map<string, { change: UpstreamChange; at: number }>();
  #isReachable = false;
  #lastUpdateAt = 0;
  /** When the store became unreachable; undefined while it is reachable. */
  #disconnectedAt: number | undefined;
  /** End of the last outage that was long enough for leases to expire. */
  #reconnectedAt = -Infinity;

  constructor(opts: UpstreamWatcherOptions) {
    this.#opts = opts;
    this.#invalidEntries = new InvalidEntryLog(opts);
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
      onEvents: (events) => {
        this.#lastUpdateAt = timer.monotonicNow();
        for (const event of lastOfEachKey(events)) this.#applyEvent(event);
      },
      onReachable: (isReachable) => {
        this.#isReachable = isReachable;
        this.#trackOutage(isReachable);
      },
      ...(maxRetryMs && { maxRetryMs }),
    });
    timer.every(SWEEP_INTERVAL_MS, () => this.#sweep());
  }

  /** Merges a sibling's upstreams; ignored while the store is reachable. */
  mergeFromSibling({ entries, revisions = [] }: UpstreamList): void {
    if (this.#isReachable) return;
    entries.forEach((entry, i) => {
      if (!isUpstreamEntry(entry)) return;
      const known = this.#revisions.get(entry.id) ?? 0;
      const revision = revisions[i] ?? known;
      // Neither a removal nor a restart that is known here is undone.
      if (revision < known) return;
      this.#revisions.set(entry.id, revision);
      this.#upsert(entry, "sibling");
    });
  }

  /** Returns the upstreams for a sibling that cannot reach the store. */
  list(): UpstreamList {
    const entries = this.#opts.upstreamRegistry.all()
      .filter((it) => !it.isSuspended).map((it) => it.entry);
    const revisions = entries.map((it) => this.#revisions.get(it.id) ?? 0);
    return { entries, revisions };
  }

  /** Applies a sibling's change. Returns whether it was new here. */
  applyChange(change: UpstreamChange): boolean {
    if (change.kind === "put" && !isUpstreamEntry(change.entry)) return false;
    const id = idOf(change);
    if (!this.#advance(id, change.revision)) return false;
    this.#lastUpdateAt = this.#opts.timer.monotonicNow();
    const isNew = this.#apply(change, "sibling");
    if (isNew) this.#remember(change);
    return isNew;
  }

  /** Revision of the newest change of an upstream; 0 if none is known. */
  revisionOf(id: string): number {
    return this.#revisions.get(id) ?? 0;
  }

  /** Returns the changes that became known here a short time ago. */
  recentChanges(): UpstreamChange[] {
    const since = this.#opts.timer.monotonicNow() - RECENT_CHANGES_MS;
    for (const [id, { at }] of this.#recent) {
      if (at < since) this.#recent.delete(id);
    }
    return [...this.#recent.values()].map((it) => it.change);
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

  #trackOutage(isReachable: boolean): void {
    const now = this.#opts.timer.monotonicNow();
    if (!isReachable) {
      this.#disconnectedAt ??= now;
      return;
    }
    const wasLong = this.#disconnectedAt !== undefined &&
      now - this.#disconnectedAt > MIN_OUTAGE_MS;
    if (wasLong) this.#reconnectedAt = now;
    this.#disconnectedAt = undefined;
  }

  #applySnapshot(items: StoreItem[], revision: number): void {
    const { upstreamRegistry, timer, log } = this.#opts;
    const entries: UpstreamEntry[] = [];
    const invalid: string[] = [];
    const parse = ({ key, value }: StoreItem) =>
      this.#opts.protocol.parseUpstream(key, value);
    this.#hasStartTimes ||= items.some((it) => (parse(it)?.startedAt ?? 0) > 0);
    for (const { key, value, modRevision } of items) {
      const entry = this.#parseEntry(key, value);
      const id = this.#idOfKey(key);
      if (entry) entries.push(entry);
      else invalid.push(id);
      this.#advance(id, modRevision);
    }
    this.#lastUpdateAt = timer.monotonicNow();
    // A sibling may have read later changes already.
    const isNewer = (id: string) => (this.#revisions.get(id) ?? 0) > revision;
    const newer = upstreamRegistry.all().map((it) => it.entry)
      .filter((it) => isNewer(it.id));
    const older = entries.filter((it) => !isNewer(it.id));
    this.#logLeaving(older, items);
    const suspended = invalid.filter((id) => !isNewer(id));
    upstreamRegistry.reconcile(
      [...older, ...newer],
      this.#lastUpdateAt,
      suspended,
    );
    log.info(`${entries.length} upstreams registered`);
  }

  /** Logs which upstreams a list shows as leaving or lacks. */
  #logLeaving(entries: UpstreamEntry[], items: StoreItem[]): void {
    const { upstreamRegistry } = this.#opts;
    for (const { id, isDraining } of entries) {
      const isNew = isDraining &&
        upstreamRegistry.get(id)?.entry.isDraining === false;
      if (isNew) this.#logChange(id, "draining", "list");
    }
    const listed = new Set(items.map((it) => this.#idOfKey(it.key)));
    for (const { entry, missingSince } of upstreamRegistry.all()) {
      const isNew = missingSince === undefined && !listed.has(entry.id);
      if (isNew) this.#logChange(entry.id, "missing", "list");
    }
  }

  #applyEvent(event: StoreEvent): void {
    if (event.kind === "delete") {
      const id = this.#idOfKey(event.key);
      if (this.#advance(id, event.revision)) this.#applyDeletion(id);
      return;
    }
    const { key, value, modRevision } = event.item;
    const entry = this.#parseEntry(key, value);
    const id = this.#idOfKey(key);
    if (!this.#advance(id, modRevision)) return;
    const change: UpstreamChange = entry
      ? { kind: "put", entry, revision: modRevision }
      : { kind: "suspend", id, revision: modRevision };
    if (this.#apply(change, "event")) this.#announce(change);
  }

  #applyDeletion(id: string): void {
    const { upstreamRegistry, isStoreReader, log, timer } = this.#opts;
    if (!upstreamRegistry.get(id)) return;
    const now = timer.monotonicNow();
    const isAfterOutage = now - this.#reconnectedAt < LEASE_EXPIRY_WINDOW_MS;
    // A front that reads seldom does not see every outage of the store.
    const mayHaveLapsed = isAfterOutage || !isStoreReader();
    log.info(`upstream ${id} was removed from the store`, {
      event: "gone",
      upstream: id,
      source: "event",
      revision: this.revisionOf(id),
      mayHaveLapsed,
    });
    // An expired entry is removed unless it reappears soon after the outage.
    const missingSince = isAfterOutage ? this.#reconnectedAt : now;
    if (mayHaveLapsed) upstreamRegistry.markMissing(id, missingSince);
    else this.#announceRemoval(id);
  }

  #sweep(): void {
    const { upstreamRegistry, timer, log } = this.#opts;
    if (!this.#isReachable) return;
    for (const id of upstreamRegistry.sweep(timer.monotonicNow())) {
      log.info(
        `upstream ${id} did not register again after a store outage; removed`,
        { event: "removed", upstream: id, revision: this.revisionOf(id) },
      );
      this.#announceRemoval(id);
    }
  }

  #announceRemoval(id: string): void {
    this.#remove(id);
    const revision = this.#revisions.get(id) ?? 0;
    this.#announce({ kind: "remove", id, revision });
  }

  /** Passes a change on; siblings rely on the fronts that read often. */
  #announce(change: UpstreamChange): void {
    this.#remember(change);
    if (this.#opts.isStoreReader()) this.#opts.onChange(change);
  }

  #remember(change: UpstreamChange): void {
    const id = idOf(change);
    this.#recent.set(id, { change, at: this.#opts.timer.monotonicNow() });
  }

  /** Records the revision of a change. Returns whether it is the newest. */
  #advance(id: string, revision: number): boolean {
    const known = this.#revisions.get(id) ?? 0;
    if (!Number.isSafeInteger(revision) || revision <= known) return false;
    this.#revisions.set(id, revision);
    return true;
  }

  #suspend(id: string): boolean {
    this.#invalidEntries.report(this.#opts.protocol.upstreamPrefix + id);
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
    if (before && entry.startedAt < before.startedAt) return false;
    const change = upstreamRegistry.put(entry);
    if (change) {
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

  /**
   * Parses an entry. If the upstreams of this deployment state when they
   * started, an entry that does not is of another writer.
   */
  #parseEntry(key: string, text: string): UpstreamEntry | undefined {
    const entry = this.#opts.protocol.parseUpstream(key, text);
    if (isUpstreamEntry(entry)) {
      if (entry.startedAt > 0) this.#hasStartTimes = true;
      if (entry.startedAt > 0 || !this.#hasStartTimes) return entry;
    }
    this.#invalidEntries.report(key);
    return undefined;
  }

  #idOfKey(key: string): string {
    return key.slice(this.#opts.protocol.upstreamPrefix.length);
  }
}

function idOf(change: UpstreamChange): string {
  return change.kind === "put" ? change.entry.id : change.id;
}

/** Returns the last event of each key, in the order of these events. */
function lastOfEachKey(events: StoreEvent[]): StoreEvent[] {
  const last = new Map<string, StoreEvent>();
  for (const event of events) {
    const key = event.kind === "put" ? event.item.key : event.key;
    last.delete(key);
    last.set(key, event);
  }
  return [...last.values()];
}

/** Whether two entries differ in nothing but the rest of a warm-up. */
function isSameEntry(
  before: UpstreamEntry | undefined,
  after: UpstreamEntry,
): boolean {
  return before !== undefined &&
    isDeepStrictEqual({ ...before, coldLeftMs: 0 }, {
      ...after,
      coldLeftMs: 0,
    });
}
