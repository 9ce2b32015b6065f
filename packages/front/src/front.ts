import type { RoutingConfig } from "@toucantrestle/routing";
import type { TurnStoreClient } from "@toucantrestle/turn_store";
import type { IncomingMessage, Server, ServerResponse } from "node:http";
import { Server as TcpServer, type Socket } from "node:net";
import { refuseCall, refuseUnread, sendText } from "./responses.ts";
import { CallerConnections } from "./caller_connections.ts";
import { answerClientErrors } from "./client_errors.ts";
import { serveAuxiliary } from "./auxiliary.ts";
import { BodyReader } from "./body_reader.ts";
import type { Call } from "./call.ts";
import { heldForCalls } from "./call_holders.ts";
import type { ConfigWatcher } from "./config_watcher.ts";
import { buildDirectoryResponse } from "./directory.ts";
import type { FrontReport, FrontState } from "./protocol.ts";
import type { PathCut } from "./direct_path.ts";
import { KeyRefusals } from "./key_refusals.ts";
import { MemoryGuard } from "./memory_guard.ts";
import {
  createAuxiliaryServer,
  createFrontServer,
  listenOnAll,
} from "./listen.ts";
import type { FrontOptions } from "./front_options.ts";
import { createFrontParts } from "./front_parts.ts";
import { quotasOf } from "./quotas_of.ts";
import { readCall } from "./read_call.ts";
import { serveCall } from "./serve_call.ts";
import type { ServeOptions } from "./serve_options.ts";
import { Shutdown, type Work } from "./shutdown.ts";
import type { Siblings } from "./siblings/siblings.ts";
import type { StoreReaders, StoreReading } from "./siblings/store_readers.ts";
import type { UpstreamContact } from "./upstream_contact.ts";
import type { UpstreamWatcher } from "./upstream_watcher.ts";

const CONNECTION_CHECK_INTERVAL_MS = 500;
/** Idle connections outlive the configured timeout by this margin. */
const KEEP_ALIVE_MARGIN_MS = 1_000;
const SWEEP_INTERVAL_MS = 10_000;
/** Siblings learn within this time that this front is ready, or not any more. */
const READY_CHECK_INTERVAL_MS = 200;

/**
 * Front daemon: serves callers, answers readiness and directory queries, and
 * drains calls in progress before it stops.
 */
export class Front {
  readonly #opts: FrontOptions;
  readonly #configWatcher: ConfigWatcher;
  readonly #upstreamWatcher: UpstreamWatcher;
  readonly #siblings: Siblings;
  readonly #storeReaders: StoreReaders;
  readonly #contact: UpstreamContact;
  readonly #turnStore: TurnStoreClient;
  readonly #serveOptions: ServeOptions;
  readonly #keyRefusals: KeyRefusals;
  readonly #bodies: BodyReader;
  readonly #callerServer: Server;
  readonly #connections: CallerConnections;
  readonly #auxiliaryServers: Server[] = [];
  readonly #activeCalls = new Set<Call>();
  readonly #memoryGuard: MemoryGuard;
  #graceMs: number;
  /** What a front that stops waits for. */
  readonly #work: Work[] = [
    { name: "calls", count: () => this.#activeCalls.size },
    { name: "ofSiblings", count: () => this.#siblings.inProgressCount },
  ];
  /** Whether callers and the directory can be served. */
  #isListening = false;
  #shutdown: Shutdown | undefined;
  #stopped: Promise<void> | undefined;
  /** Readiness as the siblings know it. */
  #wasReady = false;

  constructor(opts: FrontOptions) {
    this.#opts = opts;
    this.#graceMs = opts.graceMs;
    const parts = createFrontParts(opts, {
      report: () => this.#report(),
      runLeftMs: () => this.#shutdown?.runLeftMs ?? Infinity,
    });
    this.#configWatcher = parts.configWatcher;
    this.#upstreamWatcher = parts.upstreamWatcher;
    this.#siblings = parts.siblings;
    this.#storeReaders = parts.storeReaders;
    this.#contact = parts.contact;
    this.#turnStore = parts.turnStore;
    this.#serveOptions = parts.serveOptions;
    this.#keyRefusals = new KeyRefusals({
      ...opts,
      log: opts.loggers("call"),
    });
    this.#callerServer = createFrontServer(
      (req, res) =>
        this.#onCall(req, res).catch((err) => {
          this.#logCallError(err);
          res.destroy();
        }),
      CONNECTION_CHECK_INTERVAL_MS,
    );
    const server = this.#callerServer;
    this.#connections = new CallerConnections({ server, timer: opts.timer });
    answerClientErrors(this.#callerServer, this.#connections);
    const { holders } = this.#serveOptions;
    this.#bodies = new BodyReader({ holders, timer: opts.timer });
    holders.addSource(() => heldForCalls(this.#activeCalls));
    holders.addSource(() => this.#connections.heldForHeads());
    this.#memoryGuard = new MemoryGuard({
      memoryBytes: opts.memoryBytes ?? Infinity,
      holders,
      timer: opts.timer,
      log: opts.loggers("front"),
      metrics: opts.metrics,
    });
  }

  /**
   * Starts serving as soon as its addresses are free. Calls are refused until a
   * configuration is available.
   *
   * @throws {ExitError} if an address stays in use
   * @throws {StoppedWaitingError} if the front is stopped while it waits for one
   */
  async start(): Promise<void> {
    const { fleet, store, timer } = this.#opts;
    fleet.onView((view) => this.#turnStore.adoptView(view));
    if (fleet.view) this.#turnStore.adoptView(fleet.view);
    this.#configWatcher.onConfig((config) => {
      this.#applyLimits(config);
      this.#serveOptions.quotas.setQuotas(quotasOf(config));
    });
    const maxRetryMs = () => this.#storeReaders.maxRetryMs;
    this.#configWatcher.start({ store, timer, maxRetryMs });
    this.#upstreamWatcher.start(store);
    this.#serveOptions.directPath.onCut((cut) => this.#onPathCut(cut));
    this.#serveOptions.directPath.start();
    await this.#siblings.start(() => this.isStopping);
    if (this.isStopping) return;
    await this.#listen();
    this.#memoryGuard.start();
    this.#bodies.start();
    timer.every(
      CONNECTION_CHECK_INTERVAL_MS,
      () => this.#connections.endHeadless(),
    );
    timer.every(READY_CHECK_INTERVAL_MS, () => this.#reportReadiness());
    timer.every(SWEEP_INTERVAL_MS, () => this.#sweep());
  }

  /** Whether the front has been asked to stop. */
  get isStopping(): boolean {
    return this.#shutdown !== undefined;
  }

  /** Applies settings that may change at runtime. */
  applySettings(settings: { graceMs: number; seeds: string[] }): void {
    this.#graceMs = settings.graceMs;
    this.#siblings.setSeeds(settings.seeds);
  }

  /**
   * Drains the front: announces that it stops, accepts connections for a short
   * time, and then waits for what is in progress until shortly before the end of
   * the grace period, which later settings do not change. Resolves when the
   * process may exit, however often it is called.
   */
  stop(): Promise<void> {
    this.#stopped ??= this.#drain();
    return this.#stopped;
  }

  #drain(): Promise<void> {
    const { timer, fleet, loggers } = this.#opts;
    this.#shutdown = new Shutdown({
      graceMs: this.#graceMs,
      connections: this.#connections,
      work: this.#work,
      stopListening: () => this.#stopListening(),
      announce: () => this.#siblings.reportNow(),
      deregistration: fleet.deregister(),
      timer,
      log: loggers("front"),
    });
    return this.#shutdown.run();
  }

  /** The close of an HTTP server would cut responses that are not sent yet. */
  #stopListening(): void {
    TcpServer.prototype.close.call(this.#callerServer);
  }

  /** How this front reads the platform's store. */
  get storeReading(): StoreReading {
    return this.#storeReaders.reading;
  }

  /** Longest delay between two tries to reach the store again, in ms. */
  get maxStoreRetryMs(): number {
    return this.#storeReaders.maxRetryMs;
  }

  /** Updates the gauge metrics. */
  reportGauges(): void {
    const { metrics, timer } = this.#opts;
    const { quotas } = this.#serveOptions;
    const quota = quotas.held;
    const gauges: Record<string, number> = {
      calls_open: this.#activeCalls.size,
      buffered_bytes: this.#memoryGuard.heldBytes,
      config_version: this.#configWatcher.config?.version ?? -1,
      config_age_ms: this.#configWatcher.ageMs,
      upstreams_age_ms: this.#upstreamWatcher.ageMs,
      upstreams_heard_age_ms: timer.monotonicNow() - this.#contact.receivedAt,
      upstreams_not_connected: this.#contact.failedCount,
      reaches_upstreams: Number(!this.#serveOptions.directPath.isCut),
      upstreams_known: this.#serveOptions.upstreamRegistry.all().length,
      upstream_connections_opened: this.#serveOptions.pools.openedCount,
      fronts_connected: this.#siblings.connectedHosts.length,
      neighbours_heard: this.#siblings.heardNeighbourCount,
      reads_store_often: Number(this.#storeReaders.isReader),
      turn_view: this.#turnStore.view?.number ?? 0,
      quota_tokens_held: quota.tokens,
      quota_leases_held: quota.organisations,
      quota_fleet_fraction: quotas.fleetFraction,
      reaches_turn_stores: Number(this.#turnStore.isQuorumReachable),
    };
    for (const [name, value] of Object.entries(gauges)) {
      metrics.gauge(name, value);
    }
  }

  /** Stops immediately without draining, for tests. */
  close(): void {
    this.#siblings.close();
    this.#turnStore.close();
    this.#serveOptions.pools.close();
    for (const server of [this.#callerServer, ...this.#auxiliaryServers]) {
      server.closeAllConnections();
      server.close();
    }
  }

  get #state(): FrontState {
    if (this.#isReady) return "ready";
    return this.isStopping ? "stopping" : "starting";
  }

  get #isReady(): boolean {
    const canPersistTurns = this.#turnStore.isQuorumReachable ||
      this.#siblings.requests.canRelay;
    return this.#isListening && !this.isStopping && canPersistTurns &&
      this.#configWatcher.config !== undefined;
  }

  #reportReadiness(): void {
    const isReady = this.#isReady;
    if (isReady === this.#wasReady) return;
    this.#wasReady = isReady;
    this.#siblings.reportNow();
  }

  /** Makes requests take the way through siblings. */
  #onPathCut({ isSilent }: PathCut): void {
    this.#serveOptions.upstreamRegistry.clearBackoffs();
    this.#siblings.reportNow();
    const { pools } = this.#serveOptions;
    pools.closeUnconnected();
    if (isSilent) pools.closeIdle();
  }

  #sweep(): void {
    const now = this.#opts.timer.monotonicNow();
    this.#serveOptions.crashTracker.sweep(now);
    this.#serveOptions.upstreamRegistry.notices.sweep(now);
    this.#serveOptions.permits.retain((id) =>
      this.#serveOptions.upstreamRegistry.get(id) !== undefined
    );
  }

  /** Listens on all addresses but that of the links. */
  async #listen(): Promise<void> {
    const { callerAddress, readyAddress, directoryAddress } = this.#opts;
    const { timer, loggers } = this.#opts;
    await listenOnAll([
      [this.#callerServer, callerAddress],
      [this.#createAuxiliaryServer(), readyAddress],
      [this.#createAuxiliaryServer(), directoryAddress],
    ], { timer, log: loggers("front"), isStopping: () => this.isStopping });
    this.#isListening = true;
  }

  #createAuxiliaryServer(): Server {
    const server = createAuxiliaryServer(
      (req, res) => this.#onAuxiliaryRequest(req, res),
      this.#opts.timer,
    );
    this.#auxiliaryServers.push(server);
    return server;
  }

  #applyLimits(config: RoutingConfig): void {
    this.#connections.setTimeouts({
      headTimeoutMs: config.limits.headerTimeoutMs,
      idleTimeoutMs: config.limits.idleTimeoutMs + KEEP_ALIVE_MARGIN_MS,
    });
  }

  #onAuxiliaryRequest(req: IncomingMessage, res: ServerResponse): void {
    const { fleet, host, callerAddress, protocol } = this.#opts;
    serveAuxiliary(req, res, {
      protocol,
      isReady: this.#isReady,
      directory: () =>
        buildDirectoryResponse({
          fleet,
          siblings: this.#siblings,
          self: host,
          ownAddress: callerAddress,
          state: this.#state,
          capacity: this.#opts.capacity,
        }),
    });
  }

  async #onCall(req: IncomingMessage, res: ServerResponse): Promise<void> {
    const request = this.#connections.add(req, res);
    if (!request) return;
    if (request.isExcess) return refuseUnread(res, "too_many_open");
    if (this.#isMemoryFull) return refuseUnread(res, "memory_full");
    try {
      const call = await readCall(req, res, {
        ...this.#opts,
        bodies: this.#bodies,
        config: () => this.#configWatcher.config,
        keyRefusals: this.#keyRefusals,
        log: this.#opts.loggers("call"),
      });
      if (!call || res.closed || res.writableEnded) return;
      request.call = call;
      if (this.#shutdown?.refuses(call.deadlineAt)) {
        return refuseCall(call, "stopping");
      }
      this.#activeCalls.add(call);
      request.onClose = () => this.#onResponseClose(call);
      await serveCall(call, this.#serveOptions);
    } catch (err) {
      this.#logCallError(err);
      sendText(res, 500, "internal error");
    }
  }

  get #isMemoryFull(): boolean {
    const isProcessFull = this.#opts.memoryWatch?.isFull ?? false;
    return isProcessFull || this.#memoryGuard.isRefusing;
  }

  #logCallError(err: unknown): void {
    const text = err instanceof Error ? err.stack ?? err.message : String(err);
    this.#opts.loggers("call").error(
      `call failed with an internal error: ${text}`,
    );
  }

  #onResponseClose(call: Call): void {
    this.#activeCalls.delete(call);
    if (call.res.writableFinished) return;
    const isClosedByCaller = hasCallerClosed(call);
    call.recorder.recordOutcome("cut_off", {
      status: 0,
      verdict: "may_have_run",
      reason: isClosedByCaller ? "caller disconnected" : "connection closed",
      closedBy: isClosedByCaller ? "caller" : "front",
      openOnConnection: this.#openCallsOn(call.req.socket),
      isStopping: this.isStopping,
    });
    call.isAbandoned = true;
    call.onAbandon?.();
  }

  /** Number of other calls in progress on a caller's connection. */
  #openCallsOn(socket: Socket): number {
    return [...this.#activeCalls].filter((it) => it.req.socket === socket)
      .length;
  }

  #report(): FrontReport {
    const isForwarding = this.#shutdown?.isForwarding ?? true;
    return {
      state: this.#state,
      reachesTurnStores: isForwarding && this.#turnStore.isQuorumReachable,
      reachesUpstreams: isForwarding && !this.#serveOptions.directPath.isCut,
      reachesStore: this.#opts.fleet.isStoreReachable &&
        this.#upstreamWatcher.isReachable,
      capacity: this.#opts.capacity,
    };
  }
}

/** Whether the caller has ended or reset the connection of a call. */
function hasCallerClosed({ req: { socket } }: Call): boolean {
  return socket.readableEnded || socket.errored !== null;
}
