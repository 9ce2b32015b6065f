import type { Logger } from "@toucantrestle/log";
import type {
  TrackedUpstream,
  UpstreamEntry,
  UpstreamProcess,
} from "@toucantrestle/routing";
import type { Timer } from "@toucantrestle/timer";
import {
  ChannelPool,
  type ChannelPoolOptions,
  type Dial,
  type ProcessQuestion,
  type ResponseHead,
} from "@toucantrestle/upstream_channel";
import type { UpstreamContact } from "./upstream_contact.ts";

/** Options of `UpstreamPools`. */
export interface UpstreamPoolsOptions {
  timer: Timer;
  log: Logger;
  dial: Dial;
  contact: UpstreamContact;
  /** Whether a process of an upstream takes new requests. */
  mayReceive: (process: UpstreamProcess) => boolean;
  echoedRequestId: (head: ResponseHead) => string | undefined;
  /** Returns the questions that make an upstream name its process. */
  createQuestions: (entry: UpstreamEntry) => ProcessQuestion[];
  /** Called with a later process than that of the entry that is known. */
  onRestart: (process: UpstreamProcess) => void;
  /** Whether the entry of an upstream that restarts would be read now. */
  readsEntries: () => boolean;
}

/** Connections to one process of an upstream. */
interface ProcessPool {
  address: string;
  startedAt: number;
  /** Version in an entry that does not name its process. */
  unnamedVersion: string | undefined;
  pool: ChannelPool;
}

/** Connection pools of all upstreams, by upstream id. */
export class UpstreamPools {
  readonly #pools = new Map<string, ProcessPool>();
  readonly #opts: UpstreamPoolsOptions;
  #openedByRemovedPools = 0;

  constructor(opts: UpstreamPoolsOptions) {
    this.#opts = opts;
  }

  /** Connections opened since the start, including those of removed pools. */
  get openedCount(): number {
    let sum = this.#openedByRemovedPools;
    for (const { pool } of this.#pools.values()) sum += pool.openedCount;
    return sum;
  }

  /** Whether the pool of an upstream has an idle connection. */
  hasIdle(id: string): boolean {
    return this.#pools.get(id)?.pool.hasIdle ?? false;
  }

  /** Returns the pool for the current process and address of an upstream. */
  poolOf(upstream: TrackedUpstream): ChannelPool {
    const { id, address, startedAt, softwareVersion } = upstream.entry;
    const unnamedVersion = startedAt === 0 ? softwareVersion : undefined;
    const known = this.#pools.get(id);
    const isCurrent = known?.address === address &&
      known.startedAt === startedAt &&
      known.unnamedVersion === unnamedVersion;
    if (isCurrent) return known.pool;
    this.remove(id);
    const { timer, log, dial, echoedRequestId } = this.#opts;
    const { contact, mayReceive } = this.#opts;
    const pool = new ChannelPool({
      address,
      timer,
      log,
      dial,
      echoedRequestId,
      contact: contact.listenerOf(id),
      identity: this.#identityOf(upstream.entry),
      maySend: () => mayReceive({ id, startedAt }),
    });
    this.#pools.set(id, { address, startedAt, unnamedVersion, pool });
    return pool;
  }

  /** Returns how to tell whether the process of an entry answers. */
  #identityOf(entry: UpstreamEntry): ChannelPoolOptions["identity"] {
    const { createQuestions, onRestart, readsEntries } = this.#opts;
    const { id, startedAt } = entry;
    return {
      questions: createQuestions(entry),
      expectedName: startedAt > 0 ? String(startedAt) : undefined,
      onOther: (name) => onRestart({ id, startedAt: Number(name) }),
      isCurrent: readsEntries,
    };
  }

  /** Gives up connections that are not established yet. */
  closeUnconnected(): void {
    for (const { pool } of this.#pools.values()) pool.closeUnconnected();
  }

  /** Closes the connections without a request. */
  closeIdle(): void {
    for (const { pool } of this.#pools.values()) pool.closeIdle();
  }

  close(): void {
    for (const { pool } of this.#pools.values()) pool.close();
  }

  /** Removes the pool of an upstream; requests in progress continue. */
  remove(id: string): void {
    const known = this.#pools.get(id);
    if (!known) return;
    this.#openedByRemovedPools += known.pool.openedCount;
    this.#pools.delete(id);
    known.pool.retire();
  }
}
