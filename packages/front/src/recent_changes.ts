import { setNewest } from "@toucantrestle/routing";
import type { Timer } from "@toucantrestle/timer";
import type { UpstreamChange } from "./protocol.ts";

/** Siblings that connect are told the changes of this time. */
const RECENT_CHANGES_MS = 30_000;
/** Upstreams whose changes are kept; siblings may name any. */
const MAX_UPSTREAMS = 20_000;

/** Which changes of upstreams are recent, and which of them siblings know. */
export class RecentChanges {
  readonly #timer: Timer;
  /** Recent changes and when they became known here, by upstream id. */
  readonly #recent = new Map<string, { change: UpstreamChange; at: number }>();
  /** Revision of the newest change that siblings know, by upstream id. */
  readonly #sharedRevisions = new Map<string, number>();

  constructor(timer: Timer) {
    this.#timer = timer;
  }

  /** Adds a change, which replaces earlier ones of its upstream. */
  add(change: UpstreamChange): void {
    const recent = { change, at: this.#timer.monotonicNow() };
    setNewest(this.#recent, [idOf(change), recent], MAX_UPSTREAMS);
  }

  /** Returns the recent changes. */
  all(): UpstreamChange[] {
    const since = this.#timer.monotonicNow() - RECENT_CHANGES_MS;
    for (const [id, { at }] of this.#recent) {
      if (at < since) this.#recent.delete(id);
    }
    return [...this.#recent.values()].map((it) => it.change);
  }

  /** Records that siblings are told a change. Returns whether they were not. */
  share(change: UpstreamChange): boolean {
    const id = idOf(change);
    const { revision } = change;
    if (!Number.isSafeInteger(revision)) return false;
    if (revision <= (this.#sharedRevisions.get(id) ?? 0)) return false;
    setNewest(this.#sharedRevisions, [id, revision], MAX_UPSTREAMS);
    return true;
  }
}

/** Returns the id of the upstream that a change concerns. */
export function idOf(change: UpstreamChange): string {
  return change.kind === "put" ? change.entry.id : change.id;
}
