import type { StoreEvent, StoreItem } from "@toucantrestle/config_store";
import type { Logger } from "@toucantrestle/log";
import { isUpstreamEntry, type UpstreamEntry } from "@toucantrestle/routing";
import type { Timer } from "@toucantrestle/timer";
import { isDeepStrictEqual } from "node:util";
import { InvalidEntryLog } from "./invalid_entry_log.ts";
import type { Protocol } from "./protocol.ts";

/** Reads the entries of upstreams in the store; logs those that name none. */
export class UpstreamEntries {
  readonly #protocol: Protocol;
  readonly #invalidEntries: InvalidEntryLog;
  /** Whether an upstream has stated when its process started. */
  #hasStartTimes = false;

  constructor(opts: { protocol: Protocol; timer: Timer; log: Logger }) {
    this.#protocol = opts.protocol;
    this.#invalidEntries = new InvalidEntryLog(opts);
  }

  /** Learns from a list whether upstreams state when they started. */
  learnFrom(items: readonly StoreItem[]): void {
    this.#hasStartTimes ||= items.some(({ key, value }) =>
      (this.#protocol.parseUpstream(key, value)?.startedAt ?? 0) > 0
    );
  }

  /**
   * Parses an entry. If the upstreams of this deployment state when they
   * started, an entry that does not is of another writer.
   */
  parse(key: string, text: string): UpstreamEntry | undefined {
    const entry = this.#protocol.parseUpstream(key, text);
    if (isUpstreamEntry(entry)) {
      if (entry.startedAt > 0) this.#hasStartTimes = true;
      if (entry.startedAt > 0 || !this.#hasStartTimes) return entry;
    }
    this.#invalidEntries.report(key);
    return undefined;
  }

  /** Logs that the entry of an upstream names no usable one. */
  reportInvalid(id: string): void {
    this.#invalidEntries.report(this.#protocol.upstreamPrefix + id);
  }

  /** Returns the id of the upstream whose entry has a key. */
  idOfKey(key: string): string {
    return key.slice(this.#protocol.upstreamPrefix.length);
  }
}

/** Returns the last event of each key. */
export function lastOfEachKey(events: StoreEvent[]): StoreEvent[] {
  const last = new Map<string, StoreEvent>();
  for (const event of events) {
    const key = event.kind === "put" ? event.item.key : event.key;
    last.set(key, event);
  }
  return [...last.values()];
}

/** Whether two entries differ in nothing but the rest of a warm-up. */
export function isSameEntry(
  before: UpstreamEntry | undefined,
  after: UpstreamEntry,
): boolean {
  return before !== undefined &&
    isDeepStrictEqual({ ...before, coldLeftMs: 0 }, {
      ...after,
      coldLeftMs: 0,
    });
}
