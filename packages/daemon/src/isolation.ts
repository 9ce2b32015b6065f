import type { ConfigStore } from "@toucantrestle/config_store";
import type { Logger } from "@toucantrestle/log";
import { type HostRecord, rankByRendezvous } from "@toucantrestle/membership";
import { IsolationQueue, setNewest, type Suspect } from "@toucantrestle/policy";
import type { SiblingNet } from "@toucantrestle/sibling";
import { sleep, type Timer } from "@toucantrestle/timer";
import {
  RequestError,
  TimeoutError,
  type Verdict,
} from "@toucantrestle/verdict";
import { CONVICTIONS_PREFIX } from "./keyspace.ts";
import type { ConvictionRecord, StoreView } from "./store_view.ts";

const POLL_INTERVAL_MS = 50;
const TURN_WAIT_TIMEOUT_MS = 30_000;
const TURN_END_TIMEOUT_MS = 2_000;
const TURN_RETRY_DELAY_MS = 200;
const TURN_TIMEOUT_RETRY_AFTER_MS = 2_000;
/** A suspicion that is not confirmed expires after this time. */
const SUSPICION_TTL_MS = 120_000;
/** Most requests that are suspected at the same time. */
const MAX_SUSPECTS = 10_000;
/** A conviction expires after this time, since engines may have been fixed. */
const CONVICTION_TTL_MS = 3_600_000;

/** HTTP status of the response to a request that crashes engines. */
export const UNPROCESSABLE_STATUS = 422;

/**
 * Isolates requests that were in flight on an engine when it crashed, and
 * refuses requests that were convicted. One daemon, the coordinator, grants the
 * turns for isolated runs; it is selected from the live hosts by rendezvous
 * hashing.
 */
export class Isolation {
  readonly #store: ConfigStore;
  readonly #view: StoreView;
  readonly #net: () => SiblingNet;
  readonly #timer: Timer;
  readonly #log: Logger;
  readonly #selfRunId: string;
  readonly #queue = new IsolationQueue();
  readonly #suspectedUntil = new Map<string, number>();

  constructor(
    opts: {
      store: ConfigStore;
      view: StoreView;
      net: () => SiblingNet;
      timer: Timer;
      log: Logger;
      selfRunId: string;
    },
  ) {
    this.#store = opts.store;
    this.#view = opts.view;
    this.#net = opts.net;
    this.#timer = opts.timer;
    this.#log = opts.log;
    this.#selfRunId = opts.selfRunId;
    this.#timer.every(
      POLL_INTERVAL_MS,
      () => this.#queue.poll(this.#timer.now()),
    );
  }

  /**
   * Checks that a request has not been convicted of crashing engines.
   *
   * @throws {RequestError} with verdict `not_run` if it has
   */
  checkAllowed(fingerprint: string): void {
    const conviction = this.#view.convictions.get(fingerprint);
    if (!conviction) return;
    if (this.#timer.now() - conviction.at >= CONVICTION_TTL_MS) return;
    throw createConvictedError("not_run");
  }

  /** Whether a request was in flight when an engine crashed. */
  isSuspect(fingerprint: string): boolean {
    const until = this.#suspectedUntil.get(fingerprint) ?? 0;
    return this.#timer.now() < until;
  }

  /** Records a suspect and broadcasts it to all siblings. */
  reportSuspect(fingerprint: string): void {
    this.recordSuspect(fingerprint);
    for (const session of this.#net().sessions()) {
      session.send({ t: "suspect", fingerprint });
    }
  }

  /** Records a suspect that was detected by a sibling. */
  recordSuspect(fingerprint: string): void {
    const until = this.#timer.now() + SUSPICION_TTL_MS;
    setNewest(this.#suspectedUntil, [fingerprint, until], MAX_SUSPECTS);
  }

  /**
   * Waits for a suspect's turn for an isolated run.
   *
   * @throws {TimeoutError} if no turn was granted before the deadline
   */
  async waitForTurn(suspect: Suspect, deadlineAt: number): Promise<void> {
    while (this.isSuspect(suspect.fingerprint)) {
      this.checkAllowed(suspect.fingerprint);
      const remainingMs = deadlineAt - this.#timer.now();
      if (remainingMs <= 0) throw createTurnTimeoutError();
      try {
        await this.#tryWaitForTurn(
          suspect,
          Math.min(remainingMs, TURN_WAIT_TIMEOUT_MS),
        );
        return;
      } catch {
        await sleep(this.#timer, TURN_RETRY_DELAY_MS);
      }
    }
  }

  async #tryWaitForTurn(suspect: Suspect, timeoutMs: number): Promise<void> {
    const session = this.#findRemoteCoordinator();
    if (session) {
      await session.rpc("isolate", suspect, timeoutMs);
      return;
    }
    const timeout = sleep(this.#timer, timeoutMs).then(() => {
      throw createTurnTimeoutError();
    });
    await Promise.race([this.enqueueSuspect(suspect), timeout]);
  }

  /** Queues a suspect on this daemon, which is the coordinator. */
  enqueueSuspect(suspect: Suspect): Promise<void> {
    return new Promise((grant) => {
      this.#queue.enqueue(suspect, { now: this.#timer.now(), grant });
    });
  }

  /** Returns a turn that was not used. */
  async returnTurn(fingerprint: string): Promise<void> {
    await this.#reportTurnEnd(fingerprint, false);
  }

  /** Ends a suspect's turn and clears the suspicion: its engine did not crash. */
  async acquit(fingerprint: string): Promise<void> {
    this.#suspectedUntil.delete(fingerprint);
    await this.#reportTurnEnd(fingerprint, false);
  }

  /**
   * Ends a suspect's turn and convicts it: its engine crashed again. The
   * conviction is broadcast to all siblings and persisted.
   */
  async convict(conviction: ConvictionRecord): Promise<void> {
    const { fingerprint } = conviction;
    this.#log.error(
      `request of program ${conviction.program} crashed engines repeatedly and is refused from now on`,
    );
    this.recordConviction(conviction);
    for (const session of this.#net().sessions()) {
      session.send({ t: "convicted", conviction });
    }
    await this.#reportTurnEnd(fingerprint, true);
    await this.#store.txn({
      compares: [],
      puts: [{
        key: CONVICTIONS_PREFIX + fingerprint,
        value: JSON.stringify(conviction),
      }],
      deletes: [],
    }).catch(() => {});
  }

  /**
   * Records a conviction. It explains the crash, so all other suspects are
   * cleared.
   */
  recordConviction(conviction: ConvictionRecord): void {
    this.#view.convictions.set(conviction.fingerprint, conviction);
    this.#suspectedUntil.clear();
    this.#queue.releaseAll();
  }

  /** Ends a turn that was granted by this daemon. */
  endTurn(fingerprint: string, isConvicted: boolean): void {
    if (isConvicted) this.#queue.releaseAll();
    else this.#queue.endTurn(fingerprint);
  }

  async #reportTurnEnd(
    fingerprint: string,
    isConvicted: boolean,
  ): Promise<void> {
    const session = this.#findRemoteCoordinator();
    if (!session) return this.endTurn(fingerprint, isConvicted);
    const args = { fingerprint, isConvicted };
    await session.rpc("isolated", args, TURN_END_TIMEOUT_MS).catch(() => {});
  }

  /**
   * Returns the session to the coordinator; undefined if this daemon is the
   * coordinator.
   */
  #findRemoteCoordinator() {
    const hosts = [...this.#view.hosts.values()]
      .filter((it) => it.state === "live");
    const [name] = rankByRendezvous("isolation", hosts.map((it) => it.host));
    const host = hosts.find((it): it is HostRecord => it.host === name);
    if (!host || host.runId === this.#selfRunId) return undefined;
    return this.#net().requireSession(host);
  }
}

function createTurnTimeoutError(): RequestError {
  const verdict: Verdict = "may_have_run";
  return new TimeoutError(
    "request was in flight when an engine crashed and was not granted an isolated run before its deadline",
    { props: { verdict, retryAfterMs: TURN_TIMEOUT_RETRY_AFTER_MS } },
  );
}

/** Creates the error for a request that was convicted of crashing engines. */
export function createConvictedError(verdict: Verdict): RequestError {
  return new RequestError(
    "request crashes the engines that run it and is not retried",
    { props: { verdict, status: UNPROCESSABLE_STATUS } },
  );
}
