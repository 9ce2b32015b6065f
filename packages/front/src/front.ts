import { SpeedEstimate } from "@toucantrestle/policy";
import {
  CrashTracker,
  PrefixIndex,
  type RoutingConfig,
  UpstreamRegistry,
} from "@toucantrestle/routing";
import { sleep } from "@toucantrestle/timer";
import { type Relay, TurnStoreClient } from "@toucantrestle/turn_store";
import { dialTcp, isListening } from "@toucantrestle/upstream_channel";
import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from "node:http";
import { abortResponse, sendText } from "./responses.ts";
import type { Call } from "./call.ts";
import { Collectors } from "./collectors.ts";
import { ConfigWatcher } from "./config_watcher.ts";
import { buildDirectoryResponse } from "./directory.ts";
import type { Digest, FrontState } from "./protocol.ts";
import { DirectPath, type PathCut } from "./direct_path.ts";
import { serveRelayedExchange } from "./exchange_relay.ts";
import { listen, MAX_HEADER_BYTES } from "./listen.ts";
import type { FrontOptions } from "./front_options.ts";
import { NoticeReader } from "./notice_reader.ts";
import { FleetShare } from "./fleet_share.ts";
import { LoadSharing } from "./load_sharing.ts";
import { readCall } from "./read_call.ts";
import { PermitWeights } from "./permit_weights.ts";
import { RequestPermits } from "./request_permits.ts";
import { serveCall } from "./serve_call.ts";
import type { ServeOptions } from "./serve_options.ts";
import { Siblings } from "./siblings.ts";
import { UpstreamContact } from "./upstream_contact.ts";
import { UpstreamPaths } from "./upstream_paths.ts";
import { UpstreamPools } from "./upstream_pools.ts";
import { UpstreamWatcher } from "./upstream_watcher.ts";

const CONNECTION_CHECK_INTERVAL_MS = 500;
/** Idle connections outlive the configured timeout by this margin. */
const KEEP_ALIVE_MARGIN_MS = 1_000;
/**
 * New connections are accepted for this long after the stop signal. Callers
 * cache a directory response for 2 s, and only a few cache it longer; a host
 * that restarts soon serves more calls than one that waits for those few.
 */
const ACCEPT_AFTER_STOP_MS = 2_600;
/** Draining ends this long before the process is killed. */
const EXIT_MARGIN_MS = 800;
const DRAIN_POLL_INTERVAL_MS = 50;
const CRASH_REPORT_WINDOW_MS = 3_000;
const SWEEP_INTERVAL_MS = 10_000;

/**
 * Front daemon: serves callers, answers readiness and directory queries, and
 * drains calls in progress before it stops.
 */
export class Front {
  readonly #opts: FrontOptions;
  readonly #configWatcher: ConfigWatcher;
  readonly #upstreamWatcher: UpstreamWatcher;
  readonly #siblings: Siblings;
  readonly #loadSharing: LoadSharing;
  readonly #contact: UpstreamContact;
  readonly #directPath: DirectPath;
  readonly #permits: RequestPermits;
  readonly #turnStore: TurnStoreClient;
  readonly #upstreamRegistry: UpstreamRegistry;
  readonly #serveOptions: ServeOptions;
  readonly #callerServer: Server;
  readonly #auxiliaryServers: Server[] = [];
  readonly #activeCalls = new Set<Call>();
  readonly #speeds = new Map<string, SpeedEstimate>();
  #graceMs: number;
  #isStopping = false;

  constructor(opts: FrontOptions) {
    this.#opts = opts;
    this.#graceMs = opts.graceMs;
    const { protocol, timer, loggers, host, dataCentre, fleet } = opts;
    const prefixIndex = new PrefixIndex();
    const dial = opts.dial ?? dialTcp;
    this.#contact = new UpstreamContact({ timer, metrics: opts.metrics });
    const pools = new UpstreamPools({
      timer,
      log: loggers("upstream"),
      dial,
      contact: this.#contact,
      echoedRequestId: (head) => protocol.echoedRequestId(head),
    });
    this.#upstreamRegistry = new UpstreamRegistry({
      onInstanceGone: (id) => {
        prefixIndex.removeUpstream(id);
        pools.remove(id);
      },
    });
    const noticeReader = new NoticeReader({
      protocol,
      notices: this.#upstreamRegistry.notices,
      timer,
      log: loggers("upstream"),
    });
    this.#directPath = new DirectPath({
      timer,
      contact: this.#contact,
      addresses: () => this.#upstreamRegistry.acceptingAddresses(),
      probe: (address) => isListening(address, dial),
      random: Math.random,
      log: loggers("upstream"),
    });
    this.#configWatcher = new ConfigWatcher({
      protocol,
      log: loggers("config"),
    });
    this.#upstreamWatcher = new UpstreamWatcher({
      protocol,
      upstreamRegistry: this.#upstreamRegistry,
      timer,
      log: loggers("upstream"),
    });
    this.#turnStore = new TurnStoreClient({
      self: host,
      dataCentre,
      timer,
      log: loggers("turns"),
      onView: (view) => fleet.applyView(view),
      canRelay: () => this.#siblings.canRelay,
      relay: ((memberId, name, args) =>
        this.#siblings.relay({ memberId, name, args })) as Relay,
      relaySettle: (memberId, notice) =>
        this.#siblings.relaySettle({ memberId, notice }),
    });
    this.#siblings = new Siblings({
      self: host,
      dataCentre,
      linkAddress: opts.linkAddress,
      seeds: opts.seeds,
      fleet,
      configWatcher: this.#configWatcher,
      digest: () => this.#createDigest(),
      onDigest: (digest) => this.#applyDigest(digest),
      onLoads: (report) => this.#loadSharing.applyReport(report),
      answerLoads: (query) => this.#loadSharing.answerQuery(query),
      answerPermit: (query) => this.#permits.answer(query),
      forward: ({ memberId, name, args }) =>
        this.#turnStore.links.forward(memberId, name, args as never),
      forwardSettle: ({ memberId, notice }) => {
        this.#turnStore.links.forwardSettle(memberId, notice);
      },
      serveExchange: (args, receiver) =>
        serveRelayedExchange(args, receiver, {
          upstreamRegistry: this.#upstreamRegistry,
          pools,
          noticeReader,
          canReachUpstreams: () => !this.#directPath.isCut,
          timer,
        }),
      upstreams: () => this.#upstreamRegistry.all().map((it) => it.entry),
      onUpstreams: (entries) => this.#upstreamWatcher.mergeFromSibling(entries),
      timer,
      log: loggers("sibling"),
    });
    const collectors = new Collectors({
      self: host,
      timer,
      siblings: this.#siblings,
    });
    this.#loadSharing = new LoadSharing({
      self: host,
      timer,
      upstreamRegistry: this.#upstreamRegistry,
      siblings: this.#siblings,
      collectors,
      isEnabled: !opts.disabled.has("shared_loads"),
      log: loggers("sibling"),
    });
    this.#permits = new RequestPermits({
      self: host,
      timer,
      notices: this.#upstreamRegistry.notices,
      collectors,
      share: new FleetShare({
        self: host,
        timer,
        connectedSiblings: () => collectors.siblings,
        registeredFronts: () => fleet.fronts,
      }),
      links: this.#siblings,
      log: loggers("sibling"),
    });
    this.#serveOptions = {
      protocol,
      upstreamRegistry: this.#upstreamRegistry,
      prefixIndex,
      crashTracker: new CrashTracker(),
      noticeReader,
      permits: this.#permits,
      permitWeights: new PermitWeights(),
      pools,
      dial,
      directPath: this.#directPath,
      paths: new UpstreamPaths({
        pools,
        directPath: this.#directPath,
        chooseRelay: (dataCentre) =>
          this.#siblings.chooseExchangeRelay(dataCentre),
      }),
      turnStore: this.#turnStore,
      chooser: opts.chooser,
      disabled: opts.disabled,
      speedOf: (service) => this.#speedOf(service),
      host,
      dataCentre,
      onLoadChange: (id, kind) => this.#loadSharing.reportChange(id, kind),
      queryLoads: (upstreams) => this.#loadSharing.query(upstreams),
      upstreamsAgeMs: () => this.#upstreamWatcher.ageMs,
      timer,
    };
    this.#callerServer = this.#createServer((req, res) =>
      this.#onCall(req, res)
    );
  }

  /** Starts serving. Calls are refused until a configuration is available. */
  async start(): Promise<void> {
    const { fleet, store, timer } = this.#opts;
    fleet.onView((view) => this.#turnStore.adoptView(view));
    if (fleet.view) this.#turnStore.adoptView(fleet.view);
    this.#configWatcher.onConfig((config) => this.#applyLimits(config));
    this.#configWatcher.start({ store, timer });
    this.#upstreamWatcher.start(store);
    this.#directPath.onCut((cut) => this.#onPathCut(cut));
    this.#directPath.start();
    await this.#siblings.start();
    await listen(this.#callerServer, this.#opts.callerAddress);
    await this.#listenAuxiliary(this.#opts.readyAddress);
    await this.#listenAuxiliary(this.#opts.directoryAddress);
    timer.every(SWEEP_INTERVAL_MS, () => this.#sweep());
  }

  /** Applies settings that may change at runtime. */
  applySettings(settings: { graceMs: number; seeds: string[] }): void {
    this.#graceMs = settings.graceMs;
    this.#siblings.setSeeds(settings.seeds);
  }

  /**
   * Drains the front: announces that it stops, accepts connections for a short
   * time, and then waits for the calls in progress until shortly before the end
   * of the grace period. Resolves when the process may exit.
   */
  async stop(): Promise<void> {
    if (this.#isStopping) return;
    this.#isStopping = true;
    const { timer, fleet, loggers } = this.#opts;
    const graceMs = this.#graceMs;
    loggers("front").info(
      `stopping, ${this.#activeCalls.size} calls in progress`,
    );
    this.#siblings.broadcastNow();
    const deregistration = fleet.deregister();
    const drainDeadline = timer.monotonicNow() + graceMs - EXIT_MARGIN_MS;
    await sleep(timer, Math.min(ACCEPT_AFTER_STOP_MS, graceMs / 2));
    this.#callerServer.close();
    while (this.#activeCalls.size > 0 && timer.monotonicNow() < drainDeadline) {
      this.#callerServer.closeIdleConnections();
      await sleep(timer, DRAIN_POLL_INTERVAL_MS);
    }
    this.#callerServer.closeIdleConnections();
    await Promise.race([deregistration, sleep(timer, 100)]);
    loggers("front").info(
      `stopped with ${this.#activeCalls.size} calls in progress`,
    );
    this.#abortBegunResponses();
  }

  /** Aborts responses in progress: the end of the process would close them. */
  #abortBegunResponses(): void {
    for (const call of this.#activeCalls) {
      if (call.res.headersSent) abortResponse(call, "front stopped");
    }
  }

  /** Updates the gauge metrics. */
  reportGauges(): void {
    const { metrics } = this.#opts;
    metrics.gauge("calls_open", this.#activeCalls.size);
    metrics.gauge("config_version", this.#configWatcher.config?.version ?? -1);
    metrics.gauge("config_age_ms", this.#configWatcher.ageMs);
    metrics.gauge("upstreams_age_ms", this.#upstreamWatcher.ageMs);
    metrics.gauge(
      "upstreams_heard_age_ms",
      this.#opts.timer.monotonicNow() - this.#contact.receivedAt,
    );
    metrics.gauge("upstreams_not_connected", this.#contact.failedCount);
    metrics.gauge("reaches_upstreams", Number(!this.#directPath.isCut));
    metrics.gauge("upstreams_known", this.#upstreamRegistry.all().length);
    metrics.gauge(
      "upstream_connections_opened",
      this.#serveOptions.pools.openedCount,
    );
    metrics.gauge("turn_view", this.#turnStore.view?.number ?? 0);
    metrics.gauge(
      "reaches_turn_stores",
      Number(this.#turnStore.isQuorumReachable),
    );
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
    return this.#isStopping ? "stopping" : "starting";
  }

  get #isReady(): boolean {
    const canPersistTurns = this.#turnStore.isQuorumReachable ||
      this.#siblings.canRelay;
    return !this.#isStopping && canPersistTurns &&
      this.#configWatcher.config !== undefined;
  }

  /** Makes requests take the way through siblings. */
  #onPathCut({ isSilent }: PathCut): void {
    this.#upstreamRegistry.clearBackoffs();
    this.#siblings.broadcastNow();
    const { pools } = this.#serveOptions;
    pools.closeUnconnected();
    if (isSilent) pools.closeIdle();
  }

  #sweep(): void {
    const now = this.#opts.timer.monotonicNow();
    this.#serveOptions.crashTracker.sweep(now);
    this.#upstreamRegistry.notices.sweep(now);
    this.#permits.retain((id) => this.#upstreamRegistry.get(id) !== undefined);
  }

  /** Returns the speed of a service's engines, learned from its answers. */
  #speedOf(service: string): SpeedEstimate {
    let speed = this.#speeds.get(service);
    if (!speed) {
      speed = new SpeedEstimate();
      this.#speeds.set(service, speed);
    }
    return speed;
  }

  #createServer(
    handler: (req: IncomingMessage, res: ServerResponse) => void,
  ): Server {
    return createServer({
      maxHeaderSize: MAX_HEADER_BYTES,
      connectionsCheckingInterval: CONNECTION_CHECK_INTERVAL_MS,
      requestTimeout: 0,
      noDelay: true,
    }, handler);
  }

  async #listenAuxiliary(address: string): Promise<void> {
    const server = this.#createServer((req, res) =>
      this.#onAuxiliaryRequest(req, res)
    );
    this.#auxiliaryServers.push(server);
    await listen(server, address);
  }

  #applyLimits(config: RoutingConfig): void {
    this.#callerServer.headersTimeout = config.limits.headerTimeoutMs;
    this.#callerServer.keepAliveTimeout = config.limits.idleTimeoutMs +
      KEEP_ALIVE_MARGIN_MS;
  }

  /** Serves readiness probes and directory queries. */
  #onAuxiliaryRequest(req: IncomingMessage, res: ServerResponse): void {
    const { protocol } = this.#opts;
    const path = (req.url ?? "/").split("?")[0];
    if (path === protocol.readyPath) {
      sendText(res, this.#isReady ? 200 : 503, "");
    } else if (path === protocol.directoryPath) {
      this.#sendDirectory(res);
    } else sendText(res, 404, "path not found");
  }

  #sendDirectory(res: ServerResponse): void {
    const { fleet, host, callerAddress, protocol } = this.#opts;
    const response = buildDirectoryResponse({
      fleet,
      siblings: this.#siblings,
      self: host,
      ownAddress: callerAddress,
      state: this.#state,
    });
    if (response.addresses.length === 0) {
      return sendText(res, 503, "no front is ready");
    }
    const body = protocol.formatDirectoryResponse(response);
    res.writeHead(200, {
      "content-type": "application/json",
      "content-length": String(Buffer.byteLength(body)),
    });
    res.end(body);
  }

  async #onCall(req: IncomingMessage, res: ServerResponse): Promise<void> {
    if (this.#isStopping) res.setHeader("connection", "close");
    try {
      const call = await readCall(req, res, {
        ...this.#opts,
        config: this.#configWatcher.config,
        log: this.#opts.loggers("call"),
      });
      if (!call || res.closed) return;
      this.#activeCalls.add(call);
      res.on("close", () => this.#onResponseClose(call));
      await serveCall(call, this.#serveOptions);
    } catch (err) {
      const text = err instanceof Error ? err.stack ?? err.message : err;
      this.#opts.loggers("call").error(
        `call failed with an internal error: ${text}`,
      );
      sendText(res, 500, "internal error");
    }
  }

  #onResponseClose(call: Call): void {
    this.#activeCalls.delete(call);
    if (call.res.writableFinished) return;
    call.recorder.recordOutcome("cut_off", {
      status: 0,
      verdict: "may_have_run",
      reason: "caller disconnected",
    });
    call.isAbandoned = true;
    call.onAbandon?.();
  }

  #createDigest(): Digest {
    const { timer, host } = this.#opts;
    return {
      host,
      state: this.#state,
      reachesTurnStores: this.#turnStore.isQuorumReachable,
      reachesUpstreams: !this.#directPath.isCut,
      configVersion: this.#configWatcher.config?.version ?? -1,
      crashes: this.#serveOptions.crashTracker.crashesSince(
        timer.monotonicNow() - CRASH_REPORT_WINDOW_MS,
      ),
      notices: this.#serveOptions.noticeReader.recentNews(),
    };
  }

  #applyDigest(digest: Digest): void {
    const now = this.#opts.timer.monotonicNow();
    const { noticeReader } = this.#serveOptions;
    for (const notice of digest.notices) noticeReader.merge(notice);
    for (const { fingerprint, upstreams } of digest.crashes) {
      for (const id of upstreams) {
        this.#serveOptions.crashTracker.recordCrash(fingerprint, id, now);
      }
    }
  }
}
