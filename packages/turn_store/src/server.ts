import {
  type Fleet,
  type HostEntry,
  toReplicaHost,
} from "@toucantrestle/fleet";
import { LinkServer } from "@toucantrestle/link";
import type { Logger, LoggerFactory } from "@toucantrestle/log";
import type { MemoryHolders } from "@toucantrestle/memory";
import type { Metrics } from "@toucantrestle/metrics";
import { sleep, type Timer } from "@toucantrestle/timer";
import {
  Replica,
  type SpendRecord,
  type StreamOrigin,
  type TurnLogRecord,
  type TurnRecord,
  type View,
} from "@toucantrestle/turn_log";
import type {
  ProgramSpending,
  Refusal,
  Reply,
  ReserveArgs,
  ResumedStream,
  RetainArgs,
  SettleNotice,
  SpendingArgs,
  StoreMethods,
  StoreNotices,
} from "./messages.ts";
import type { StoreDisk } from "./store_disk.ts";
import { ViewManager } from "./view_manager.ts";

/** Options of a turn store. */
export interface TurnStoreServerOptions {
  /** Entry of this host, under the id of the disk. */
  self: HostEntry;
  fleet: Fleet;
  /** Closed with the server. */
  disk: StoreDisk;
  /** True if the entire deployment starts for the first time. */
  isFirstStart: boolean;
  /** Number of disks that may fail at the same time. */
  tolerate: number;
  /** Returns the hosts that an operator wants to retire. */
  listRetiringHosts: () => string[];
  /** Called when a retiring host no longer holds records that others need. */
  onHostRetired: (host: string) => void;
  /** Whether the process lacks memory; it does not by default. */
  isMemoryFull?: () => boolean;
  /** What keeps memory for peers. */
  holders?: MemoryHolders;
  timer: Timer;
  loggers: LoggerFactory;
  metrics: Metrics;
}

/** Added to the retention of each record, because clocks of hosts differ. */
const CLOCK_SKEW_MARGIN_MS = 15_000;
const SWEEP_INTERVAL_MS = 5_000;
/** Spending counts as ageing after this share of its retention period. */
const AGEING_SHARE = 0.5;
/** Size of prompts after which a reply to a copying replica is cut off. */
const MAX_FETCH_BYTES = 2_000_000;
/** Requests that were sent before a store stops have arrived by then. */
const STOP_NOTICE_MS = 100;
const STOP_POLL_INTERVAL_MS = 20;

/** Serves one replica and its journal over links. */
export class TurnStoreServer {
  readonly #opts: TurnStoreServerOptions;
  readonly #log: Logger;
  readonly #replica: Replica;
  readonly #disk: StoreDisk;
  readonly #server: LinkServer<StoreMethods, StoreNotices>;
  readonly #viewManager: ViewManager;
  #isSweeping = false;
  /** Set once the store stops; resolves when it has. */
  #stopped: Promise<void> | undefined;

  constructor(opts: TurnStoreServerOptions) {
    this.#opts = opts;
    this.#log = opts.loggers("turns");
    this.#replica = new Replica({ id: opts.self.id });
    this.#disk = opts.disk;
    this.#server = this.#createServer();
    this.#viewManager = new ViewManager({
      self: toReplicaHost(opts.self),
      replica: this.#replica,
      fleet: opts.fleet,
      isFirstStart: opts.isFirstStart,
      tolerate: opts.tolerate,
      listRetiringHosts: opts.listRetiringHosts,
      onHostRetired: opts.onHostRetired,
      persistRecords: (records) => this.#persistAll(records),
      persistState: () => this.#persistState(),
      timer: opts.timer,
      log: opts.loggers("view"),
      holders: opts.holders,
    });
  }

  /** Number of the current view; 0 before the first. */
  get viewNumber(): number {
    return this.#replica.view?.number ?? 0;
  }

  /** True if all records that the current view requires have been copied. */
  get isComplete(): boolean {
    return this.#replica.isComplete;
  }

  /**
   * Takes over what the disk holds, then starts to listen.
   *
   * @throws {ExitError} if the address stays in use
   * @throws {StoppedWaitingError} if the store is stopped meanwhile
   */
  async start(): Promise<void> {
    const { timer, fleet, self } = this.#opts;
    this.#restore();
    await this.#server.listen(self.linkAddress, {
      timer,
      isStopping: () => this.#stopped !== undefined,
    });
    fleet.onView((view) => this.adoptView(view));
    if (fleet.view) this.adoptView(fleet.view);
    this.#viewManager.start();
    timer.every(SWEEP_INTERVAL_MS, () => this.#sweep());
  }

  /** Restores the replica from the disk. Records are read when needed. */
  #restore(): void {
    const { view, base, isComplete = false } = this.#disk.state;
    const now = this.#opts.timer.now();
    let recordCount = 0;
    for (const frame of this.#disk.takeFrames()) {
      if (frame.expiresAt > now) recordCount += 1;
      this.#replica.applyDeferred(frame);
    }
    this.#replica.sweep(now);
    if (view) {
      this.#replica.restore({ view, base, isComplete });
      this.#opts.fleet.applyView(view);
    }
    this.#log.info(
      `loaded ${recordCount} unexpired records, view ${view?.number ?? 0}`,
    );
  }

  /** Adopts an agreed view if it is newer than the current one. */
  adoptView(view: View): void {
    if (!this.#replica.adoptView(view)) return;
    this.#persistState();
    this.#viewManager.onViewChanged();
  }

  /** Updates the gauge metrics. */
  reportGauges(): void {
    const { metrics } = this.#opts;
    metrics.gauge("turns_kept", this.#replica.turnCount);
    metrics.gauge("prompt_bytes", this.#replica.bytes);
    metrics.gauge("journal_bytes", this.#disk.journal.bytes);
    metrics.gauge("journal_syncs", this.#disk.journal.syncCount);
    metrics.gauge("turn_view", this.#replica.view?.number ?? 0);
    metrics.gauge("view_complete", Number(this.#replica.isComplete));
  }

  /**
   * Stops the store: refuses further requests for records, so that they go to
   * other replicas, finishes those that have begun, and syncs the journal.
   * Resolves when the process may exit, after `timeoutMs` at the latest. Further
   * calls change nothing.
   */
  stop(timeoutMs: number): Promise<void> {
    this.#stopped ??= this.#finish(timeoutMs);
    return this.#stopped;
  }

  async #finish(timeoutMs: number): Promise<void> {
    const { timer } = this.#opts;
    const deadline = timer.monotonicNow() + timeoutMs;
    this.#log.info(
      `stopping, ${this.#server.inProgressCount} requests in progress`,
    );
    this.#viewManager.stop();
    await sleep(timer, Math.min(STOP_NOTICE_MS, timeoutMs));
    const isBusy = () => this.#server.inProgressCount > 0;
    while (isBusy() && timer.monotonicNow() < deadline) {
      await sleep(timer, STOP_POLL_INTERVAL_MS);
    }
    const leftMs = Math.max(0, deadline - timer.monotonicNow());
    await Promise.race([this.#disk.stop(), sleep(timer, leftMs)]);
    this.#log.info(
      `stopped with ${this.#server.inProgressCount} requests in progress`,
    );
    this.#server.close();
  }

  /**
   * Stops the view manager and closes the server and the disk. Resolves once
   * nothing is written any longer.
   */
  async close(): Promise<void> {
    this.#viewManager.stop();
    this.#server.close();
    await this.#disk.close().catch((err) =>
      this.#log.warn(`cannot close the journal: ${String(err)}`)
    );
  }

  #createServer(): LinkServer<StoreMethods, StoreNotices> {
    return new LinkServer<StoreMethods, StoreNotices>({
      log: this.#log,
      holders: this.#opts.holders,
      methods: {
        reserve: (args) => this.#ifAccepting(() => this.#reserve(args)),
        spending: (args) =>
          this.#ifAccepting(() =>
            this.#serveRead(
              args.viewNumber,
              args.program,
              () => this.#spendingOf(args),
            )
          ),
        retain: (args) => this.#ifAccepting(() => this.#retain(args)),
        find: (args) =>
          this.#ifAccepting(() =>
            this.#serveRead(args.viewNumber, args.id, () => ({
              turn: this.#replica.findTurn(args.id),
            }))
          ),
        put: (args) => this.#ifAccepting(() => this.#put(args)),
        inventory: ({ view, member }) => this.#inventory(view, member),
        fetch: ({ ids }) => ({ turns: this.#fetch(ids) }),
        status: ({ id }) => {
          this.#viewManager.recordQuery(id);
          return {
            id: this.#opts.self.id,
            viewNumber: this.#replica.view?.number ?? 0,
            isComplete: this.#replica.isComplete,
          };
        },
        fleet: () => this.#opts.fleet.snapshot(),
      },
      notices: {
        settle: (notice) => this.#settle(notice),
        view: (view) => this.#opts.fleet.applyView(view),
      },
    });
  }

  /**
   * Serves a request for records, which another replica serves as well, unless
   * the store stops or lacks memory.
   */
  #ifAccepting<T>(serve: () => T): T | Refusal {
    const isRefusing = this.#stopped || this.#opts.isMemoryFull?.();
    return isRefusing ? { status: "copying" } : serve();
  }

  #spendingOf(
    { program, resumed, keepMs }: SpendingArgs,
  ): ProgramSpending {
    const reply: ProgramSpending = {
      spending: this.#replica.spendingOf(program),
      hints: this.#replica.hintsOf(program),
      origins: resumed ? this.#originsOf(program, resumed) : [],
    };
    if (keepMs === undefined) return reply;
    const time = this.#expiryFor(keepMs);
    const ageing = this.#replica.turnsExpiringBefore(program, time);
    return ageing.length > 0 ? { ...reply, ageing } : reply;
  }

  /** Returns where a resumed stream may have begun. */
  #originsOf(program: string, { turn }: ResumedStream): StreamOrigin[] {
    if (turn === undefined) return this.#replica.originsOf(program);
    const origin = this.#replica.originOf(program, turn);
    return origin ? [origin] : [];
  }

  /** Serves a read if the view is current and this replica may answer it. */
  #serveRead<T>(viewNumber: number, key: string, read: () => T): Reply<T> {
    const refusal = this.#checkView(viewNumber);
    if (refusal) return refusal;
    if (!this.#replica.canServe(key)) return { status: "copying" };
    return { status: "ok", isComplete: this.#replica.isComplete, ...read() };
  }

  /** Checks whether a write to this replica counts towards a quorum. */
  #checkWritable(viewNumber: number, key: string): Reply<object> {
    const refusal = this.#checkView(viewNumber);
    if (refusal) return refusal;
    if (!this.#replica.canStore(key)) return { status: "copying" };
    return { status: "ok", isComplete: this.#replica.isComplete };
  }

  /** Returns a refusal unless the view of a request is the current one. */
  #checkView(viewNumber: number): Refusal | undefined {
    const view = this.#replica.view;
    if (!view || viewNumber > view.number) return { status: "behind" };
    if (viewNumber < view.number) return { status: "moved", view };
    return undefined;
  }

  async #reserve(
    args: ReserveArgs,
  ): Promise<StoreMethods["reserve"]["result"]> {
    const check = this.#checkWritable(args.viewNumber, args.program);
    if (check.status !== "ok") return check;
    const record: SpendRecord = {
      kind: "spend",
      program: args.program,
      turn: args.turn,
      reserved: args.tokens,
      settled: undefined,
      hint: undefined,
      origin: args.origin,
      expiresAt: this.#spendExpiryFor(args.keepMs),
    };
    await this.#persistTimed(record);
    return this.#checkWritable(args.viewNumber, args.program);
  }

  async #retain(
    { viewNumber, program, spending, keepMs }: RetainArgs,
  ): Promise<StoreMethods["retain"]["result"]> {
    const check = this.#checkWritable(viewNumber, program);
    if (check.status !== "ok") return check;
    const expiresAt = this.#spendExpiryFor(keepMs);
    await this.#persistAll(
      Object.entries(spending).map(([turn, { reserved, settled }]) => ({
        kind: "spend",
        program,
        turn,
        reserved,
        settled,
        hint: undefined,
        expiresAt,
      })),
    );
    return this.#checkWritable(viewNumber, program);
  }

  async #put(
    { viewNumber, turn, keepMs }: StoreMethods["put"]["args"],
  ): Promise<StoreMethods["put"]["result"]> {
    const check = this.#checkWritable(viewNumber, turn.id);
    if (check.status !== "ok") return check;
    await this.#persistTimed({
      kind: "turn",
      ...turn,
      expiresAt: this.#expiryFor(keepMs),
    });
    return this.#checkWritable(viewNumber, turn.id);
  }

  /**
   * Replaces a reservation. One that is not known here is not added while the
   * process lacks memory; other replicas know the spending.
   */
  async #settle(notice: SettleNotice): Promise<void> {
    const { keepMs, ...rest } = notice;
    if (this.#opts.isMemoryFull?.() && !this.#isReserved(notice)) {
      return this.#opts.metrics.count("settles_dropped", 1);
    }
    const record: SpendRecord = {
      kind: "spend",
      ...rest,
      expiresAt: this.#spendExpiryFor(keepMs),
    };
    await this.#persist(record).catch((err) =>
      this.#log.warn(
        `cannot persist the spending of turn ${rest.turn}: ${String(err)}`,
      )
    );
  }

  #isReserved({ program, turn }: SettleNotice): boolean {
    return Object.hasOwn(this.#replica.spendingOf(program), turn);
  }

  /** Adopts the view of the request if it is newer, then lists the records. */
  #inventory(view: View, member: string): StoreMethods["inventory"]["result"] {
    this.#opts.fleet.applyView(view);
    const current = this.#replica.view;
    if (!current || current.number > view.number) {
      return current
        ? { status: "moved", view: current }
        : { status: "behind" };
    }
    if (!this.#viewManager.canServeInventory) return { status: "copying" };
    return {
      status: "ok",
      isComplete: this.#replica.isComplete,
      inventory: this.#replica.inventoryFor(view, member),
    };
  }

  #fetch(ids: string[]): TurnRecord[] {
    const turns: TurnRecord[] = [];
    let bytes = 0;
    for (const id of ids) {
      const turn = this.#replica.findTurn(id);
      if (!turn) continue;
      turns.push(turn);
      bytes += turn.prompt.length;
      if (bytes > MAX_FETCH_BYTES) break;
    }
    return turns;
  }

  /**
   * Makes a record durable, and only then known: what is known here is not
   * copied again, and must outlive a restart.
   */
  async #persist(record: TurnLogRecord): Promise<void> {
    await this.#disk.journal.append(record);
    this.#replica.apply(record);
  }

  async #persistTimed(record: TurnLogRecord): Promise<void> {
    const { timer, metrics } = this.#opts;
    const startedAt = timer.monotonicNow();
    await this.#persist(record);
    const ms = timer.monotonicNow() - startedAt;
    metrics.timing("keep_ms", ms, { kind: record.kind });
  }

  async #persistAll(records: TurnLogRecord[]): Promise<void> {
    await Promise.all(records.map((it) => this.#persist(it)));
  }

  #expiryFor(keepMs: number): number {
    return this.#opts.timer.now() + keepMs + CLOCK_SKEW_MARGIN_MS;
  }

  /**
   * Expiry of the record of a turn's spending. It is later than that of the
   * turn by the time after which the spending counts as ageing: until then no
   * other replica has to know it.
   */
  #spendExpiryFor(keepMs: number): number {
    return this.#expiryFor(keepMs * (1 + AGEING_SHARE));
  }

  #persistState(): Promise<void> {
    return this.#disk.saveState({
      id: this.#opts.self.id,
      view: this.#replica.view,
      base: this.#replica.base,
      isComplete: this.#replica.isComplete,
    });
  }

  /** Drops what has expired, from memory and from disk. */
  async #sweep(): Promise<void> {
    if (this.#isSweeping) return;
    this.#isSweeping = true;
    const now = this.#opts.timer.now();
    this.#replica.sweep(now);
    try {
      await this.#renewRecords(now);
      await this.#disk.journal.sweep(now);
    } catch (err) {
      this.#log.error(
        `cannot delete expired journal segments: ${String(err)}`,
      );
    }
    await this.#disk.check();
    this.#isSweeping = false;
  }

  /** Appends the spending again that has expired before its program. */
  async #renewRecords(now: number): Promise<void> {
    await Promise.all(
      this.#replica.renewalsDue(now).map(async (it) => {
        await this.#disk.journal.renew(it);
        this.#replica.apply(it);
      }),
    );
  }
}
