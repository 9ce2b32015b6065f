import type { ConfigStore } from "@toucantrestle/config_store";
import type { Fleet } from "@toucantrestle/fleet";
import type { LoggerFactory } from "@toucantrestle/log";
import type { Metrics } from "@toucantrestle/metrics";
import {
  type ChooserName,
  CrashList,
  PrefixCache,
  type RoutingConfig,
  UpstreamBook,
} from "@toucantrestle/routing";
import { sleep, type Timer } from "@toucantrestle/timer";
import { type Relay, TurnStoreClient } from "@toucantrestle/turn_store";
import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from "node:http";
import { sendText } from "./answers.ts";
import type { Call } from "./call.ts";
import { ConfigWatch } from "./config_watch.ts";
import { directoryAnswer } from "./directory.ts";
import type { Digest, FrontState, Protocol } from "./protocol.ts";
import { listen, MAX_HEAD_BYTES } from "./listening.ts";
import { readCall } from "./read_call.ts";
import { serveCall } from "./serve_call.ts";
import type { ServeOptions } from "./serve_options.ts";
import { Siblings } from "./siblings.ts";
import { UpstreamPools } from "./upstream_pools.ts";
import { UpstreamWatch } from "./upstream_watch.ts";

/** Settings of a front. */
export interface FrontOptions {
  host: string;
  dataCentre: string;
  /** Where callers connect. */
  callerAddress: string;
  /** Where the platform asks whether this front is ready. */
  readyAddress: string;
  /** Where callers ask where to connect. */
  directoryAddress: string;
  linkAddress: string;
  seeds: string[];
  /** Time from the order to stop until the process is killed, in ms. */
  graceMs: number;
  chooser: ChooserName;
  protocol: Protocol;
  store: ConfigStore;
  fleet: Fleet;
  timer: Timer;
  loggers: LoggerFactory;
  metrics: Metrics;
}

const CHECK_CONNECTIONS_MS = 500;
/** Kept connections outlive the announced idle time by this much. */
const IDLE_SLACK_MS = 1_000;
/**
 * New connections are taken for this long after the order to stop. Callers keep
 * an answer of the directory for two seconds, and only a few for longer; a host
 * that is back soon serves more than one that waits for those.
 */
const SERVE_ON_MS = 2_600;
/** Time before the kill at which the process ends by itself. */
const EXIT_MARGIN_MS = 800;
const END_CHECK_MS = 50;
const CRASH_NEWS_MS = 3_000;
const SWEEP_MS = 10_000;

/** One front: serves callers, tells them where to connect, and drains. */
export class Front {
  readonly #opts: FrontOptions;
  readonly #configs: ConfigWatch;
  readonly #upstreams: UpstreamWatch;
  readonly #siblings: Siblings;
  readonly #turns: TurnStoreClient;
  readonly #book: UpstreamBook;
  readonly #serve: ServeOptions;
  readonly #callers: Server;
  readonly #servers: Server[] = [];
  readonly #calls = new Set<Call>();
  #graceMs: number;
  #isStopping = false;

  constructor(opts: FrontOptions) {
    this.#opts = opts;
    this.#graceMs = opts.graceMs;
    const { protocol, timer, loggers, host, dataCentre, fleet } = opts;
    const caches = new PrefixCache();
    const pools = new UpstreamPools({
      timer,
      log: loggers("upstream"),
      answeredId: (head) => protocol.answeredId(head),
    });
    this.#book = new UpstreamBook({
      onGone: (id) => {
        caches.forget(id);
        pools.forget(id);
      },
    });
    this.#configs = new ConfigWatch({ protocol, log: loggers("config") });
    this.#upstreams = new UpstreamWatch({
      protocol,
      book: this.#book,
      timer,
      log: loggers("upstream"),
    });
    this.#turns = new TurnStoreClient({
      self: host,
      dataCentre,
      timer,
      log: loggers("turns"),
      onView: (view) => fleet.takeView(view),
      canRelay: () => this.#siblings.canRelay,
      relay: ((memberId, name, args) =>
        this.#siblings.relay({ memberId, name, args })) as Relay,
      relaySettle: (memberId, notice) =>
        this.#siblings.relaySettle({ memberId, notice }),
    });
    this.#serve = {
      protocol,
      book: this.#book,
      caches,
      crashes: new CrashList(),
      pools,
      turns: this.#turns,
      chooser: opts.chooser,
      host,
      dataCentre,
      upstreamsAgeMs: () => this.#upstreams.ageMs,
      timer,
    };
    this.#siblings = new Siblings({
      self: host,
      linkAddress: opts.linkAddress,
      seeds: opts.seeds,
      fleet,
      configs: this.#configs,
      digest: () => this.#digest(),
      onDigest: (digest) => this.#takeDigest(digest),
      forward: ({ memberId, name, args }) =>
        this.#turns.links.forward(memberId, name, args as never),
      forwardSettle: ({ memberId, notice }) => {
        this.#turns.links.forwardSettle(memberId, notice);
      },
      upstreams: () => this.#book.all().map((it) => it.entry),
      onUpstreams: (entries) => this.#upstreams.takeFromSibling(entries),
      timer,
      log: loggers("sibling"),
    });
    this.#callers = this.#createServer((req, res) => this.#onCall(req, res));
  }

  /** Starts to serve; callers are refused until a configuration is known. */
  async start(): Promise<void> {
    const { fleet, store, timer } = this.#opts;
    fleet.onView((view) => this.#turns.takeView(view));
    if (fleet.view) this.#turns.takeView(fleet.view);
    this.#configs.onConfig((config) => this.#applyLimits(config));
    this.#configs.start({ store, timer });
    this.#upstreams.start(store);
    await this.#siblings.start();
    await listen(this.#callers, this.#opts.callerAddress);
    await this.#listenOther(this.#opts.readyAddress);
    await this.#listenOther(this.#opts.directoryAddress);
    timer.every(SWEEP_MS, () => this.#serve.crashes.sweep(timer.steady()));
  }

  /** Takes up settings that may change while this front runs. */
  applySettings(settings: { graceMs: number; seeds: string[] }): void {
    this.#graceMs = settings.graceMs;
    this.#siblings.setSeeds(settings.seeds);
  }

  /** Stops after the requests in progress; resolves when the process may end. */
  async stop(): Promise<void> {
    if (this.#isStopping) return;
    this.#isStopping = true;
    const { timer, fleet, loggers } = this.#opts;
    const graceMs = this.#graceMs;
    loggers("front").info(`stopping, ${this.#calls.size} calls in progress`);
    this.#siblings.tellNow();
    const leaving = fleet.leave();
    const endAt = timer.steady() + graceMs - EXIT_MARGIN_MS;
    await sleep(timer, Math.min(SERVE_ON_MS, graceMs / 2));
    this.#callers.close();
    while (this.#calls.size > 0 && timer.steady() < endAt) {
      this.#callers.closeIdleConnections();
      await sleep(timer, END_CHECK_MS);
    }
    this.#callers.closeIdleConnections();
    await Promise.race([leaving, sleep(timer, 100)]);
    loggers("front").info(`stopped, ${this.#calls.size} calls cut off`);
  }

  /** Sets the figures that are read and not counted. */
  reportGauges(): void {
    const { metrics } = this.#opts;
    metrics.gauge("calls_open", this.#calls.size);
    metrics.gauge("config_version", this.#configs.config?.version ?? -1);
    metrics.gauge("upstreams_age_ms", this.#upstreams.ageMs);
    metrics.gauge("upstreams_known", this.#book.all().length);
    metrics.gauge("upstream_connections_opened", this.#serve.pools.opened);
    metrics.gauge("turn_view", this.#turns.view?.number ?? 0);
    metrics.gauge("reaches_turn_stores", Number(this.#turns.isUsable));
  }

  /** Stops at once, as in tests. */
  close(): void {
    this.#siblings.close();
    this.#turns.close();
    this.#serve.pools.close();
    for (const server of [this.#callers, ...this.#servers]) {
      server.closeAllConnections();
      server.close();
    }
  }

  get #state(): FrontState {
    if (this.#isReady) return "ready";
    return this.#isStopping ? "stopping" : "starting";
  }

  get #isReady(): boolean {
    const keepsTurns = this.#turns.isUsable || this.#siblings.canRelay;
    return !this.#isStopping && keepsTurns &&
      this.#configs.config !== undefined;
  }

  #createServer(
    handler: (req: IncomingMessage, res: ServerResponse) => void,
  ): Server {
    return createServer({
      maxHeaderSize: MAX_HEAD_BYTES,
      connectionsCheckingInterval: CHECK_CONNECTIONS_MS,
      requestTimeout: 0,
      noDelay: true,
    }, handler);
  }

  async #listenOther(address: string): Promise<void> {
    const server = this.#createServer((req, res) => this.#onOther(req, res));
    this.#servers.push(server);
    await listen(server, address);
  }

  #applyLimits(config: RoutingConfig): void {
    this.#callers.headersTimeout = config.limits.headerTimeoutMs;
    this.#callers.keepAliveTimeout = config.limits.idleTimeoutMs +
      IDLE_SLACK_MS;
  }

  /** Answers whether this front is ready, and where to connect. */
  #onOther(req: IncomingMessage, res: ServerResponse): void {
    const { protocol } = this.#opts;
    const path = (req.url ?? "/").split("?")[0];
    if (path === protocol.readyPath) {
      sendText(res, this.#isReady ? 200 : 503, "");
    } else if (path === protocol.directoryPath) {
      this.#answerDirectory(res);
    } else sendText(res, 404, "no such path");
  }

  #answerDirectory(res: ServerResponse): void {
    const { fleet, host, callerAddress, protocol } = this.#opts;
    const answer = directoryAnswer({
      fleet,
      siblings: this.#siblings,
      self: host,
      own: callerAddress,
      state: this.#state,
    });
    if (answer.addresses.length === 0) {
      return sendText(res, 503, "no front is ready");
    }
    const body = protocol.directoryAnswer(answer);
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
        config: this.#configs.config,
        log: this.#opts.loggers("call"),
      });
      if (!call || res.closed) return;
      this.#calls.add(call);
      res.on("close", () => this.#onClose(call));
      await serveCall(call, this.#serve);
    } catch (err) {
      const text = err instanceof Error ? err.stack ?? err.message : err;
      this.#opts.loggers("call").error(`call failed: ${text}`);
      sendText(res, 500, "internal error");
    }
  }

  #onClose(call: Call): void {
    this.#calls.delete(call);
    if (call.res.writableFinished) return;
    call.trail.end("cut_off", {
      status: 0,
      verdict: "may_have_run",
      reason: "the caller has left",
    });
    call.isAbandoned = true;
    call.onAbandon?.();
  }

  #digest(): Digest {
    const loads: Digest["loads"] = {};
    for (const { entry, own } of this.#book.all()) {
      if (own.running > 0) loads[entry.id] = { ...own };
    }
    const { timer, host } = this.#opts;
    return {
      host,
      state: this.#state,
      reachesTurnStores: this.#turns.isUsable,
      configVersion: this.#configs.config?.version ?? -1,
      loads,
      crashes: this.#serve.crashes.since(timer.steady() - CRASH_NEWS_MS),
    };
  }

  #takeDigest(digest: Digest): void {
    const now = this.#opts.timer.steady();
    this.#book.noteOthers(digest.host, digest.loads, now);
    for (const { fingerprint, upstreams } of digest.crashes) {
      for (const id of upstreams) {
        this.#serve.crashes.note(fingerprint, id, now);
      }
    }
  }
}
