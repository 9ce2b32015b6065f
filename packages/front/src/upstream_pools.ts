import type { Logger } from "@toucantrestle/log";
import type { KnownUpstream } from "@toucantrestle/routing";
import type { Timer } from "@toucantrestle/timer";
import { type AnswerHead, ChannelPool } from "@toucantrestle/upstream_channel";

/** Connections to all upstreams, by the upstream's id. */
export class UpstreamPools {
  readonly #pools = new Map<string, { address: string; pool: ChannelPool }>();
  readonly #opts: {
    timer: Timer;
    log: Logger;
    answeredId: (head: AnswerHead) => string | undefined;
  };
  #openedByRemovedPools = 0;

  constructor(
    opts: {
      timer: Timer;
      log: Logger;
      answeredId: (head: AnswerHead) => string | undefined;
    },
  ) {
    this.#opts = opts;
  }

  /** Connections opened so far. */
  get opened(): number {
    let sum = this.#openedByRemovedPools;
    for (const { pool } of this.#pools.values()) sum += pool.opened;
    return sum;
  }

  /** Whether a kept connection to an upstream waits for a request. */
  hasIdle(id: string): boolean {
    return this.#pools.get(id)?.pool.hasIdle ?? false;
  }

  /** The connections to an upstream, at the address that it has now. */
  poolOf(upstream: KnownUpstream): ChannelPool {
    const { id, address } = upstream.entry;
    const known = this.#pools.get(id);
    if (known?.address === address) return known.pool;
    const pool = new ChannelPool({ address, ...this.#opts });
    this.#pools.set(id, { address, pool });
    return pool;
  }

  close(): void {
    for (const { pool } of this.#pools.values()) pool.close();
  }

  /** Forgets an upstream; requests in progress go on. */
  remove(id: string): void {
    const known = this.#pools.get(id);
    if (!known) return;
    this.#openedByRemovedPools += known.pool.opened;
    this.#pools.delete(id);
  }
}
