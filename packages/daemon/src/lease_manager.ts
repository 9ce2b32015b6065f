import type { ConfigStore } from "@toucantrestle/config_store";
import type { Logger } from "@toucantrestle/log";
import {
  type HostRecord,
  type HostState,
  pacedIntervalMs,
} from "@toucantrestle/membership";
import type { Subscription, Timer } from "@toucantrestle/timer";
import { HOSTS_PREFIX } from "./keyspace.ts";

const MS_PER_S = 1_000;
const RENEWALS_PER_TTL = 3;
const RENEW_RETRY_MS = 300;

/**
 * Registers this daemon under a lease, renews the lease and registers again
 * after it expired. Attempts that fail, as in an outage of the key-value service,
 * are repeated without limit.
 */
export class LeaseManager {
  readonly #store: ConfigStore;
  readonly #timer: Timer;
  readonly #log: Logger;
  readonly #ttlS: () => number;
  #record: HostRecord;
  #lease: string | undefined;
  #lastRenewedAt = 0;
  #nextRenewal: Subscription | undefined;
  #isClosed = false;

  constructor(
    opts: {
      store: ConfigStore;
      timer: Timer;
      log: Logger;
      record: HostRecord;
      baseTtlS: number;
      /** Returns the number of daemons; renewals get rarer as it grows. */
      daemons: () => number;
    },
  ) {
    this.#store = opts.store;
    this.#timer = opts.timer;
    this.#log = opts.log;
    this.#record = opts.record;
    this.#ttlS = () => {
      const baseMs = opts.baseTtlS * MS_PER_S / RENEWALS_PER_TTL;
      const intervalMs = pacedIntervalMs(baseMs, opts.daemons());
      return Math.ceil(intervalMs * RENEWALS_PER_TTL / MS_PER_S);
    };
  }

  /** Registration that is written to the service. */
  get record(): HostRecord {
    return this.#record;
  }

  /** Whether the lease was renewed within its TTL. */
  get isFresh(): boolean {
    const age = this.#timer.now() - this.#lastRenewedAt;
    return this.#lease !== undefined && age < this.#ttlS() * MS_PER_S;
  }

  start(): void {
    this.#renew();
  }

  /** Changes the registered state of this host. */
  async setState(state: HostState): Promise<void> {
    this.#record = { ...this.#record, state };
    if (this.#lease !== undefined) await this.#write(this.#lease);
  }

  /** Revokes the lease, which removes the registration. */
  async close(): Promise<void> {
    this.#isClosed = true;
    this.#nextRenewal?.cancel();
    if (this.#lease !== undefined) await this.#store.revokeLease(this.#lease);
  }

  async #renew(): Promise<void> {
    let delayMs = this.#ttlS() * MS_PER_S / RENEWALS_PER_TTL;
    try {
      await this.#renewOnce();
      this.#lastRenewedAt = this.#timer.now();
    } catch {
      delayMs = RENEW_RETRY_MS;
    }
    if (this.#isClosed) return;
    this.#nextRenewal = this.#timer.after(delayMs, () => this.#renew());
  }

  async #renewOnce(): Promise<void> {
    if (this.#lease !== undefined) {
      if (await this.#store.renewLease(this.#lease)) return;
      this.#log.warn("lease expired, requesting a new one");
      this.#lease = undefined;
    }
    const lease = await this.#store.grantLease(this.#ttlS());
    await this.#write(lease);
    this.#lease = lease;
  }

  async #write(lease: string): Promise<void> {
    await this.#store.txn({
      compares: [],
      puts: [{
        key: HOSTS_PREFIX + this.#record.runId,
        value: JSON.stringify(this.#record),
        lease,
      }],
      deletes: [],
    });
  }
}
