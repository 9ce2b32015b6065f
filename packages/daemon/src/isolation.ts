import type { ConfigStore } from "@toucantrestle/config_store";
import type { Logger } from "@toucantrestle/log";
import { type HostRecord, rankByRendezvous } from "@toucantrestle/membership";
import { IsolationQueue, type Suspect } from "@toucantrestle/policy";
import type { SiblingNet } from "@toucantrestle/sibling";
import { sleep, type Timer } from "@toucantrestle/timer";
import {
  RequestError,
  TimeoutError,
  type Verdict,
} from "@toucantrestle/verdict";
import { CONVICTIONS } from "./keyspace.ts";
import type { ConvictionRecord, StoreView } from "./store_view.ts";

const POLL_MS = 50;
const ENTER_TIMEOUT_MS = 30_000;
const LEAVE_TIMEOUT_MS = 2_000;
const RETRY_MS = 200;
const NO_TURN_RETRY_MS = 2_000;
/** Suspicion that nothing confirms ends by itself. */
const SUSPICION_MS = 120_000;
/** A conviction ends after this, since engines get mended. */
const CONVICTION_MS = 3_600_000;

/** Status of the answer to a request that crashes engines. */
export const UNPROCESSABLE_STATUS = 422;

/**
 * Isolates requests that were in progress on an engine that crashed, and
 * refuses those that were convicted. One daemon grants the turns; which one
 * follows from the live hosts.
 */
export class Isolation {
  readonly #store: ConfigStore;
  readonly #view: StoreView;
  readonly #net: () => SiblingNet;
  readonly #timer: Timer;
  readonly #log: Logger;
  readonly #selfRunId: string;
  readonly #queue = new IsolationQueue();
  readonly #suspectUntil = new Map<string, number>();

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
    this.#timer.every(POLL_MS, () => this.#queue.poll(this.#timer.now()));
  }

  /**
   * Checks that a request is not known to crash engines.
   *
   * @throws {RequestError} with verdict `not_run`
   */
  checkAllowed(fingerprint: string): void {
    const conviction = this.#view.convictions.get(fingerprint);
    if (!conviction) return;
    if (this.#timer.now() - conviction.at >= CONVICTION_MS) return;
    throw convictedError("not_run");
  }

  /** Whether a request was in progress when an engine crashed. */
  isSuspect(fingerprint: string): boolean {
    const until = this.#suspectUntil.get(fingerprint) ?? 0;
    return this.#timer.now() < until;
  }

  /** Notes a suspect here and at all siblings. */
  suspect(fingerprint: string): void {
    this.takeSuspect(fingerprint);
    for (const session of this.#net().sessions()) {
      session.send({ t: "suspect", fingerprint });
    }
  }

  /** Notes a suspect that a sibling has found. */
  takeSuspect(fingerprint: string): void {
    const until = this.#timer.now() + SUSPICION_MS;
    this.#suspectUntil.set(fingerprint, until);
  }

  /**
   * Waits for a suspect's turn to run alone.
   *
   * @throws {TimeoutError} when the turn did not come before the deadline
   */
  async enter(suspect: Suspect, deadlineAt: number): Promise<void> {
    while (this.isSuspect(suspect.fingerprint)) {
      this.checkAllowed(suspect.fingerprint);
      const leftMs = deadlineAt - this.#timer.now();
      if (leftMs <= 0) throw noTurnError();
      try {
        await this.#enterOnce(suspect, Math.min(leftMs, ENTER_TIMEOUT_MS));
        return;
      } catch {
        await sleep(this.#timer, RETRY_MS);
      }
    }
  }

  async #enterOnce(suspect: Suspect, timeoutMs: number): Promise<void> {
    const session = this.#coordinator();
    if (session) {
      await session.rpc("isolate", suspect, timeoutMs);
      return;
    }
    const timeout = sleep(this.#timer, timeoutMs).then(() => {
      throw noTurnError();
    });
    await Promise.race([this.enterHere(suspect), timeout]);
  }

  /** Queues a suspect at this daemon, which grants the turns. */
  enterHere(suspect: Suspect): Promise<void> {
    return new Promise((grant) => {
      this.#queue.enqueue(suspect, { now: this.#timer.now(), grant });
    });
  }

  /** Gives a turn back without having run. */
  async yieldTurn(fingerprint: string): Promise<void> {
    await this.#leave(fingerprint, false);
  }

  /** Ends a suspect's turn: its engine did not crash. */
  async acquit(fingerprint: string): Promise<void> {
    this.#suspectUntil.delete(fingerprint);
    await this.#leave(fingerprint, false);
  }

  /** Ends a suspect's turn: its engine crashed again. */
  async convict(conviction: ConvictionRecord): Promise<void> {
    const { fingerprint } = conviction;
    this.#log.error(
      `request of program ${conviction.program} crashes engines and is refused`,
    );
    this.takeConviction(conviction);
    for (const session of this.#net().sessions()) {
      session.send({ t: "convicted", conviction });
    }
    await this.#leave(fingerprint, true);
    await this.#store.txn({
      compares: [],
      puts: [{
        key: CONVICTIONS + fingerprint,
        value: JSON.stringify(conviction),
      }],
      deletes: [],
    }).catch(() => {});
  }

  /** Takes a conviction: it explains the crash, all other suspects are free. */
  takeConviction(conviction: ConvictionRecord): void {
    this.#view.convictions.set(conviction.fingerprint, conviction);
    this.#suspectUntil.clear();
    this.#queue.releaseAll();
  }

  /** Ends a turn that this daemon granted. */
  leaveHere(fingerprint: string, isConvicted: boolean): void {
    if (isConvicted) this.#queue.releaseAll();
    else this.#queue.endTurn(fingerprint);
  }

  async #leave(fingerprint: string, isConvicted: boolean): Promise<void> {
    const session = this.#coordinator();
    if (!session) return this.leaveHere(fingerprint, isConvicted);
    const args = { fingerprint, isConvicted };
    await session.rpc("isolated", args, LEAVE_TIMEOUT_MS).catch(() => {});
  }

  /** Session with the daemon that grants turns; undefined if that is here. */
  #coordinator() {
    const hosts = [...this.#view.hosts.values()]
      .filter((it) => it.state === "live");
    const [name] = rankByRendezvous("isolation", hosts.map((it) => it.host));
    const host = hosts.find((it): it is HostRecord => it.host === name);
    if (!host || host.runId === this.#selfRunId) return undefined;
    return this.#net().requireSession(host);
  }
}

function noTurnError(): RequestError {
  const verdict: Verdict = "may_have_run";
  return new TimeoutError(
    "the request was in progress at a crash and got no turn to run alone",
    { props: { verdict, retryAfterMs: NO_TURN_RETRY_MS } },
  );
}

/** The answer to a request that is known to crash engines. */
export function convictedError(verdict: Verdict): RequestError {
  return new RequestError(
    "the request crashes the engines that run it and is not run again",
    { props: { verdict, status: UNPROCESSABLE_STATUS } },
  );
}
