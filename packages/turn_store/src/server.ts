import {
  type Fleet,
  type HostEntry,
  replicaHostOf,
} from "@toucantrestle/fleet";
import { LinkServer } from "@toucantrestle/link";
import type { Logger, LoggerFactory } from "@toucantrestle/log";
import type { Metrics } from "@toucantrestle/metrics";
import type { Timer } from "@toucantrestle/timer";
import { Journal, readState, writeState } from "@toucantrestle/turn_journal";
import {
  keyOfRecord,
  Replica,
  type SpendRecord,
  type TurnLogRecord,
  type TurnRecord,
  type View,
} from "@toucantrestle/turn_log";
import type {
  Refusal,
  Reply,
  ReserveArgs,
  SettleNotice,
  StoreMethods,
  StoreNotices,
} from "./messages.ts";
import { ViewKeeper } from "./view_keeper.ts";

/** Settings of a turn store. */
export interface TurnStoreServerOptions {
  self: HostEntry;
  fleet: Fleet;
  /** Folder of the journal and of the state file. */
  folder: string;
  maxBytes: number;
  /** True when the whole deployment starts for the first time. */
  isFirstStart: boolean;
  /** Disks that may be lost at the same time. */
  tolerate: number;
  /** Hosts that an operator wants emptied, and what to say when they are. */
  retiring: () => string[];
  onRetired: (host: string) => void;
  timer: Timer;
  loggers: LoggerFactory;
  metrics: Metrics;
}

/** What is kept beside the journal. */
export interface StoreState {
  id: string;
  view: View | undefined;
  base: View | undefined;
  isComplete: boolean;
}

/** Records outlive their retention by this much, as clocks differ. */
const EXPIRY_SLACK_MS = 15_000;
const SWEEP_MS = 5_000;
/** Turns handed to a copying replica at a time. */
const MAX_FETCH_BYTES = 2_000_000;

/** One replica with its journal, served over links. */
export class TurnStoreServer {
  readonly #opts: TurnStoreServerOptions;
  readonly #log: Logger;
  readonly #replica: Replica;
  readonly #journal: Journal<TurnLogRecord>;
  readonly #server: LinkServer<StoreMethods, StoreNotices>;
  readonly #keeper: ViewKeeper;
  #saving: Promise<void> = Promise.resolve();

  constructor(opts: TurnStoreServerOptions) {
    this.#opts = opts;
    this.#log = opts.loggers("turns");
    this.#replica = new Replica({ id: opts.self.id });
    this.#journal = new Journal({
      folder: opts.folder,
      maxBytes: opts.maxBytes,
      metadataOf: (it) => ({ key: keyOfRecord(it), expiresAt: it.expiresAt }),
      log: opts.loggers("journal"),
    });
    this.#server = this.#createServer();
    this.#keeper = new ViewKeeper({
      self: replicaHostOf(opts.self),
      replica: this.#replica,
      fleet: opts.fleet,
      isFirstStart: opts.isFirstStart,
      tolerate: opts.tolerate,
      retiring: opts.retiring,
      onRetired: opts.onRetired,
      keep: (records) => this.#keepAll(records),
      save: () => this.#save(),
      timer: opts.timer,
      log: opts.loggers("view"),
    });
  }

  /** Number of the view that this store serves; 0 before the first. */
  get viewNumber(): number {
    return this.#replica.view?.number ?? 0;
  }

  /** True when everything that the current view asks for has been copied. */
  get isComplete(): boolean {
    return this.#replica.isComplete;
  }

  /** Reads the disk, then serves. */
  async start(): Promise<void> {
    const { folder, timer, fleet, self } = this.#opts;
    const saved = await readState<StoreState>(folder);
    const now = timer.now();
    let records = 0;
    await this.#journal.load((frame) => {
      if (frame.expiresAt <= now) return;
      records += 1;
      this.#replica.applyLater(frame);
    });
    if (saved?.view) {
      this.#replica.restore({ ...saved, view: saved.view });
      fleet.takeView(saved.view);
    }
    this.#log.info(
      `found ${records} records, view ${saved?.view?.number ?? 0}`,
    );
    await this.#server.listen(self.linkAddress);
    fleet.onView((view) => this.takeView(view));
    if (fleet.view) this.takeView(fleet.view);
    this.#keeper.start();
    timer.every(SWEEP_MS, () => this.#sweep());
  }

  /** Moves to an agreed view. */
  takeView(view: View): void {
    if (!this.#replica.adoptView(view)) return;
    this.#save();
    this.#keeper.onViewChanged();
  }

  /** Sets the figures that are read and not counted. */
  reportGauges(): void {
    const { metrics } = this.#opts;
    metrics.gauge("turns_kept", this.#replica.turnCount);
    metrics.gauge("prompt_bytes", this.#replica.bytes);
    metrics.gauge("journal_bytes", this.#journal.bytes);
    metrics.gauge("journal_syncs", this.#journal.syncCount);
    metrics.gauge("turn_view", this.#replica.view?.number ?? 0);
    metrics.gauge("view_complete", Number(this.#replica.isComplete));
  }

  close(): void {
    this.#keeper.stop();
    this.#server.close();
  }

  #createServer(): LinkServer<StoreMethods, StoreNotices> {
    return new LinkServer<StoreMethods, StoreNotices>({
      log: this.#log,
      methods: {
        reserve: (args) => this.#reserve(args),
        spending: ({ viewNumber, program }) =>
          this.#serve(viewNumber, program, () => ({
            spending: this.#replica.spendingOf(program),
            hints: this.#replica.hintsOf(program),
          })),
        find: (args) =>
          this.#serve(args.viewNumber, args.id, () => ({
            turn: this.#replica.findTurn(args.id),
          })),
        put: (args) => this.#put(args),
        inventory: ({ view, member }) => this.#inventory(view, member),
        fetch: ({ ids }) => ({ turns: this.#fetch(ids) }),
        status: () => ({
          id: this.#opts.self.id,
          viewNumber: this.#replica.view?.number ?? 0,
          isComplete: this.#replica.isComplete,
        }),
        fleet: () => this.#opts.fleet.snapshot(),
      },
      notices: {
        settle: (notice) => this.#settle(notice),
        view: (view) => this.#opts.fleet.takeView(view),
      },
    });
  }

  /** Answers a question of the current view on a key that is kept here. */
  #serve<T>(viewNumber: number, key: string, fn: () => T): Reply<T> {
    const refusal = this.#refuseView(viewNumber);
    if (refusal) return refusal;
    if (!this.#replica.canServe(key)) return { status: "copying" };
    return { status: "ok", isComplete: this.#replica.isComplete, ...fn() };
  }

  /** Whether a record of the current view counts as kept when written here. */
  #mayKeep(viewNumber: number, key: string): Reply<object> {
    const refusal = this.#refuseView(viewNumber);
    if (refusal) return refusal;
    if (!this.#replica.canKeep(key)) return { status: "copying" };
    return { status: "ok", isComplete: this.#replica.isComplete };
  }

  #refuseView(viewNumber: number): Refusal | undefined {
    const view = this.#replica.view;
    if (!view || viewNumber > view.number) return { status: "behind" };
    if (viewNumber < view.number) return { status: "moved", view };
    return undefined;
  }

  async #reserve(
    args: ReserveArgs,
  ): Promise<StoreMethods["reserve"]["result"]> {
    const checked = this.#mayKeep(args.viewNumber, args.program);
    if (checked.status !== "ok") return checked;
    const record: SpendRecord = {
      kind: "spend",
      program: args.program,
      turn: args.turn,
      reserved: args.tokens,
      settled: undefined,
      hint: undefined,
      expiresAt: this.#expiry(args.keepMs),
    };
    await this.#keepTimed(record);
    return this.#mayKeep(args.viewNumber, args.program);
  }

  async #put(
    { viewNumber, turn, keepMs }: StoreMethods["put"]["args"],
  ): Promise<StoreMethods["put"]["result"]> {
    const checked = this.#mayKeep(viewNumber, turn.id);
    if (checked.status !== "ok") return checked;
    await this.#keepTimed({
      kind: "turn",
      ...turn,
      expiresAt: this.#expiry(keepMs),
    });
    return this.#mayKeep(viewNumber, turn.id);
  }

  #settle(notice: SettleNotice): void {
    const { keepMs, ...rest } = notice;
    const record: SpendRecord = {
      kind: "spend",
      ...rest,
      expiresAt: this.#expiry(keepMs),
    };
    this.#keep(record).catch((err) =>
      this.#log.warn(`spending of ${rest.turn} is not kept: ${String(err)}`)
    );
  }

  #inventory(view: View, member: string): StoreMethods["inventory"]["result"] {
    this.#opts.fleet.takeView(view);
    const current = this.#replica.view;
    if (!current || current.number > view.number) {
      return current
        ? { status: "moved", view: current }
        : { status: "behind" };
    }
    if (!this.#keeper.mayHandOut) return { status: "copying" };
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

  /** Enters a record at once, and resolves when it is on the disk. */
  #keep(record: TurnLogRecord): Promise<void> {
    this.#replica.apply(record);
    return this.#journal.append(record);
  }

  async #keepTimed(record: TurnLogRecord): Promise<void> {
    const { timer, metrics } = this.#opts;
    const startedAt = timer.steady();
    await this.#keep(record);
    const ms = timer.steady() - startedAt;
    metrics.timing("keep_ms", ms, { kind: record.kind });
  }

  async #keepAll(records: TurnLogRecord[]): Promise<void> {
    await Promise.all(records.map((it) => this.#keep(it)));
  }

  #expiry(keepMs: number): number {
    return this.#opts.timer.now() + keepMs + EXPIRY_SLACK_MS;
  }

  #save(): Promise<void> {
    const state: StoreState = {
      id: this.#opts.self.id,
      view: this.#replica.view,
      base: this.#replica.base,
      isComplete: this.#replica.isComplete,
    };
    this.#saving = this.#saving.then(() => writeState(this.#opts.folder, state))
      .catch((err) =>
        this.#log.error(`state cannot be written: ${String(err)}`)
      );
    return this.#saving;
  }

  #sweep(): void {
    const now = this.#opts.timer.now();
    this.#replica.sweep(now);
    this.#journal.sweep(now).catch((err) =>
      this.#log.error(`expired segments stay: ${String(err)}`)
    );
  }
}
