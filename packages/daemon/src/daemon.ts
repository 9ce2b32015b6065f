import { HttpStore } from "@toucantrestle/config_store";
import type { HttpServer } from "@toucantrestle/http";
import type { LoggerFactory } from "@toucantrestle/log";
import {
  chooseHolders,
  type HostRun,
  TailStore,
} from "@toucantrestle/membership";
import type { DaemonFaults } from "@toucantrestle/operator";
import { type PeerHandlers, SiblingNet } from "@toucantrestle/sibling";
import type { Timeline } from "@toucantrestle/timeline";
import type { Timer } from "@toucantrestle/timer";
import { randomUUID } from "node:crypto";
import type { CallerLimits } from "./caller_limits.ts";
import { setUpCalls } from "./calls_setup.ts";
import type { DaemonContext } from "./daemon_context.ts";
import { createDaemonHttp } from "./daemon_http.ts";
import type { PlacementQueue } from "./placement_queue.ts";
import { RequestRouter } from "./request_router.ts";
import { ChildBudgets } from "./child_budgets.ts";
import { Flusher } from "./flusher.ts";
import { stopGracefully } from "./graceful_stop.ts";
import { Isolation } from "./isolation.ts";
import {
  LinkManager,
  listJoinAddresses,
  listResponsiveHosts,
} from "./link_manager.ts";
import { Journal } from "./journal.ts";
import { Keyring } from "./keyring.ts";
import { LateOutcomeReporter } from "./late_outcome_reporter.ts";
import { LeaseManager } from "./lease_manager.ts";
import type { LoadReader } from "./load_reader.ts";
import { createOperatorHandlers } from "./operator_handlers.ts";
import type { OwnedShard } from "./owned_shard.ts";
import { OwnerLookup } from "./owner_lookup.ts";
import type { Ownership } from "./ownership.ts";
import { setUpOwnership } from "./ownership_setup.ts";
import { createPeerHandlers } from "./peer_handlers.ts";
import type { ProgramCalls } from "./program_calls.ts";
import { Replicator } from "./replicator.ts";
import { setUpScheduling } from "./scheduling_setup.ts";
import type { DaemonSettings } from "./settings.ts";
import {
  reportPrograms,
  reportStatus,
  type StatusComponents,
} from "./status_report.ts";
import { StoreView } from "./store_view.ts";
import { TableEditor } from "./table_editor.ts";
import { TailHolder } from "./tail_holder.ts";
import { createDaemonTimeline } from "./daemon_timeline.ts";
import type { Upstreams } from "./upstreams.ts";

const BYTES_PER_MB = 1_000_000;

/** A daemon: creates, connects, starts and stops all of its components. */
export class Daemon {
  readonly #cfg: DaemonSettings;
  readonly #timer: Timer;
  readonly #logs: LoggerFactory;
  readonly #context: DaemonContext;
  readonly #timeline: Timeline;
  readonly #self: HostRun;
  readonly #faults: DaemonFaults = { cut: [] };
  readonly #shards = new Map<number, OwnedShard>();
  readonly #tails: TailStore;
  readonly #store: HttpStore;
  readonly #view: StoreView;
  readonly #lease: LeaseManager;
  readonly #keyring: Keyring;
  readonly #upstreams: Upstreams;
  readonly #callerLimits: CallerLimits;
  readonly #placementQueue: PlacementQueue;
  readonly #loadReader: LoadReader;
  readonly #isolation: Isolation;
  readonly #replicator: Replicator;
  readonly #flusher: Flusher;
  readonly #journal: Journal;
  readonly #ownership: Ownership;
  readonly #lateOutcomes: LateOutcomeReporter;
  readonly #childBudgets: ChildBudgets;
  readonly #requestRouter: RequestRouter;
  readonly #net: SiblingNet;
  readonly #links: LinkManager;
  readonly #http: HttpServer;
  #isStopping = false;
  #onStopped: (err?: unknown) => void = () => {};

  constructor(cfg: DaemonSettings, context: DaemonContext) {
    const { timer, logs } = context;
    this.#cfg = cfg;
    this.#context = context;
    this.#timer = timer;
    this.#logs = logs;
    this.#timeline = createDaemonTimeline(cfg, { timer, logs });
    this.#self = {
      runId: randomUUID(),
      host: cfg.host,
      dataCentre: cfg.dataCentre,
      address: cfg.advertise ?? cfg.listen,
      siblingAddress: cfg.siblingListen,
    };
    this.#tails = new TailStore(cfg.tailLimitMb * BYTES_PER_MB);
    this.#store = new HttpStore({
      url: cfg.storeUrl,
      timeoutMs: cfg.storeTimeoutMs,
      holders: context.holders,
      isCut: () => this.#faults.cut.includes("store"),
    });
    this.#view = new StoreView({
      store: this.#store,
      timer: this.#timer,
      log: this.#logs("table"),
    });
    this.#lease = this.#createLease();
    this.#keyring = new Keyring({
      store: this.#store,
      view: this.#view,
      timer: this.#timer,
      bootstrapKey: cfg.bootstrapKey,
    });
    const scheduling = setUpScheduling({
      hostListUrl: cfg.hostListUrl,
      selfHost: cfg.host,
      view: this.#view,
      net: () => this.#net,
      timer: this.#timer,
      logs: this.#logs,
      metrics: this.#context.metrics,
      holders: this.#context.holders,
    });
    this.#callerLimits = scheduling.callerLimits;
    this.#placementQueue = scheduling.placementQueue;
    this.#upstreams = scheduling.upstreams;
    this.#loadReader = scheduling.loadReader;
    this.#isolation = new Isolation({
      store: this.#store,
      view: this.#view,
      net: () => this.#net,
      timer: this.#timer,
      log: this.#logs("isolation"),
      selfRunId: this.#self.runId,
    });
    this.#replicator = new Replicator({
      net: () => this.#net,
      timer,
      shards: this.#shards,
      onSealed: (shard) => this.#ownership.dropLostShard(shard),
    });
    this.#flusher = new Flusher({
      store: this.#store,
      timer: this.#timer,
      log: this.#logs("journal"),
      net: () => this.#net,
      shards: this.#shards,
      baseIntervalMs: this.#cfg.flushMs,
      daemons: () => this.#view.hosts.size,
      onLost: (shard) => this.#ownership.dropLostShard(shard),
    });
    this.#journal = new Journal({
      replicator: this.#replicator,
      timer: this.#timer,
      shards: this.#shards,
    });
    this.#ownership = this.#createOwnership();
    const common = {
      timer: this.#timer,
      journal: this.#journal,
      ownership: this.#ownership,
      view: this.#view,
      net: () => this.#net,
    };
    const ownerLookup = new OwnerLookup(common);
    this.#lateOutcomes = new LateOutcomeReporter({ ...common, ownerLookup });
    this.#childBudgets = new ChildBudgets({ ...common, ownerLookup });
    this.#requestRouter = new RequestRouter({
      ...common,
      programCalls: this.#createProgramCalls(),
      selfRunId: this.#self.runId,
      selfAddress: this.#self.address,
    });
    this.#net = this.#createNet();
    this.#links = new LinkManager({
      ...common,
      self: this.#self,
      net: this.#net,
      shards: this.#shards,
      joinAddresses: () =>
        listJoinAddresses(this.#cfg.siblings, this.#upstreams.entryHosts()),
    });
    this.#http = this.#createHttp();
  }

  /**
   * Listens for siblings and callers as soon as the addresses are free, and
   * starts all components.
   *
   * @throws {ExitError} if an address stays in use
   * @throws {StoppedWaitingError} if the daemon is stopped meanwhile
   */
  async start(): Promise<void> {
    const isStopping = () => this.#isStopping;
    await this.#net.listen(isStopping);
    await this.#http.listen(this.#cfg.listen, {
      timer: this.#timer,
      log: this.#logs("entry"),
      isStopping,
    });
    if (this.#isStopping) return;
    this.#view.onChange(() => this.#upstreams.refresh());
    this.#view.start();
    this.#lease.start();
    this.#links.start();
    this.#context.tls?.watch(
      (files) => this.#http.setTls(files),
      this.#logs("daemon"),
    );
    this.#logs("daemon").info(
      `serving callers on ${this.#cfg.listen}, run id ${this.#self.runId}`,
    );
  }

  /**
   * Stops gracefully: marks its host record as leaving, hands its shards over
   * and waits for the calls in flight.
   */
  async stop(): Promise<void> {
    if (this.#isStopping) return;
    this.#isStopping = true;
    try {
      await stopGracefully({
        timer: this.#timer,
        log: this.#logs("daemon"),
        lease: this.#lease,
        ownership: this.#ownership,
        http: this.#http,
        flusher: this.#flusher,
        view: this.#view,
        net: this.#net,
      });
      this.#context.metrics.close();
      this.#onStopped();
    } catch (err) {
      this.#onStopped(err);
    }
  }

  /** Calls `fn` once the daemon has stopped, with the error that ended the stop. */
  onStopped(fn: (err?: unknown) => void): void {
    this.#onStopped = fn;
  }

  #createLease(): LeaseManager {
    return new LeaseManager({
      store: this.#store,
      timer: this.#timer,
      log: this.#logs("lease"),
      record: { ...this.#self, state: "live" },
      baseTtlS: this.#cfg.leaseTtlS,
      daemons: () => this.#view.hosts.size,
    });
  }

  #createOwnership(): Ownership {
    return setUpOwnership({
      store: this.#store,
      tails: this.#tails,
      logs: this.#logs,
      self: this.#self,
      view: this.#view,
      lease: this.#lease,
      net: () => this.#net,
      timer: this.#timer,
      timeline: this.#timeline,
      shards: this.#shards,
      flusher: this.#flusher,
      chooseHolders: (shard) => this.#chooseHolders(shard),
      copies: this.#cfg.tailCopies,
      onServing: (shard) => this.#replicator.scheduleSend(shard),
    });
  }

  #createProgramCalls(): ProgramCalls {
    return setUpCalls({
      childBudgets: this.#childBudgets,
      shards: this.#shards,
      logs: this.#logs,
      timer: this.#timer,
      timeline: this.#timeline,
      metrics: this.#context.metrics,
      journal: this.#journal,
      placementQueue: this.#placementQueue,
      upstreams: this.#upstreams,
      loadReader: this.#loadReader,
      isolation: this.#isolation,
      table: () => this.#view.tableView,
      reportLateOutcome: (late) => this.#lateOutcomes.report(late),
    });
  }

  #createNet(): SiblingNet {
    return new SiblingNet({
      self: this.#self,
      key: this.#cfg.siblingKey,
      timer: this.#timer,
      handlers: this.#createPeerHandlers(),
      heartbeat: () => ({
        stamp: this.#timeline.clock.tick(),
        tableRevision: this.#view.table.revision,
      }),
      isCut: (host) => this.#faults.cut.includes(host),
      isSiblingKey: (hash) => this.#keyring.isSibling(hash),
      tls: this.#context.tls?.siblings,
      log: this.#logs("sibling"),
      holders: this.#context.holders,
    });
  }

  #createPeerHandlers(): PeerHandlers {
    return createPeerHandlers({
      view: this.#view,
      timeline: this.#timeline,
      tails: this.#tails,
      tailHolder: new TailHolder(this.#tails),
      replicator: this.#replicator,
      childBudgets: this.#childBudgets,
      lateOutcomes: this.#lateOutcomes,
      requestRouter: this.#requestRouter,
      loadReader: this.#loadReader,
      isolation: this.#isolation,
      callerLimits: this.#callerLimits,
      net: () => this.#net,
      ownStatus: () => reportStatus(this.#getStatusComponents()),
      ownPrograms: () => reportPrograms(this.#getStatusComponents()),
    });
  }

  #createHttp(): HttpServer {
    return createDaemonHttp({
      requestRouter: this.#requestRouter,
      operator: this.#createOperatorHandlers(),
      keyring: this.#keyring,
      view: this.#view,
      shards: this.#shards,
      timer: this.#timer,
      holders: this.#context.holders,
      log: this.#logs("entry"),
      isReady: () => this.#links.isReady,
      allowFaults: this.#cfg.allowFaults,
      maxBodyBytes: this.#cfg.maxBodyMb * BYTES_PER_MB,
      tls: this.#context.tls?.http,
    });
  }

  #createOperatorHandlers() {
    return createOperatorHandlers({
      selfRunId: this.#self.runId,
      view: this.#view,
      editor: new TableEditor({
        store: this.#store,
        view: this.#view,
        timer: this.#timer,
      }),
      keyring: this.#keyring,
      timeline: this.#timeline,
      net: () => this.#net,
      ownStatus: () => reportStatus(this.#getStatusComponents()),
      ownPrograms: () => reportPrograms(this.#getStatusComponents()),
      drain: () => this.stop(),
      setFaults: (faults) => {
        this.#faults.cut = faults.cut;
      },
    });
  }

  #getStatusComponents(): StatusComponents {
    return {
      record: () => this.#lease.record,
      view: this.#view,
      lease: this.#lease,
      shards: this.#shards,
      placementQueue: this.#placementQueue,
      tails: this.#tails,
      timer: this.#timer,
      siblingBytesSent: () => this.#net.bytesSent,
    };
  }

  #chooseHolders(shard: number): HostRun[] {
    return chooseHolders(shard, {
      owner: this.#self,
      hosts: listResponsiveHosts(this.#view, this.#net),
      copies: this.#cfg.tailCopies,
    });
  }
}
