import type { Fleet } from "@toucantrestle/fleet";
import {
  LinkServer,
  type StreamReceiver,
  type StreamServerHandlers,
} from "@toucantrestle/link";
import type { Logger } from "@toucantrestle/log";
import { chooseNeighbours, Gossip, Rings } from "@toucantrestle/overlay";
import type { UpstreamEntry } from "@toucantrestle/routing";
import type { Timer } from "@toucantrestle/timer";
import type { ConfigWatcher } from "../config_watcher.ts";
import type {
  FrontStreams,
  OpenRelay,
  RelayControl,
  RelayedRequest,
  RelayPart,
} from "../exchange_relay.ts";
import type {
  Digest,
  FrontMethods,
  FrontNews,
  FrontNotices,
  FrontReport,
  FrontState,
  LoadReport,
} from "../protocol.ts";
import { toGossipMessage } from "./read_gossip.ts";
import { type FrontLink, SiblingLinks } from "./sibling_links.ts";

/** Options of `Siblings`. */
export interface SiblingsOptions {
  self: string;
  dataCentre: string;
  linkAddress: string;
  /** Link addresses of siblings, for a start while the store is unreachable. */
  seeds: string[];
  fleet: Fleet;
  configWatcher: ConfigWatcher;
  /** Returns what this front reports about itself. */
  report: () => FrontReport;
  /** Applies news. Returns whether they must be passed on. */
  applyNews: (news: FrontNews, from: string) => boolean;
  recentNews: () => FrontNews[];
  onLoads: (report: LoadReport) => void;
  /** Returns the loads that a sibling asks for. */
  answerLoads: (
    query: FrontMethods["loads"]["args"],
  ) => FrontMethods["loads"]["result"]["loads"];
  /** Answers a sibling's query for a permit. */
  answerPermit: (
    query: FrontMethods["permit"]["args"],
  ) => FrontMethods["permit"]["result"];
  /** Forwards a sibling's request to a turn store. */
  forward: (it: FrontMethods["relay"]["args"]) => Promise<unknown>;
  forwardSettle: (it: FrontNotices["settle"]) => void;
  /** Forwards a sibling's request to an upstream. */
  serveExchange: (
    args: RelayedRequest,
    receiver: StreamReceiver<RelayPart>,
  ) => StreamServerHandlers<RelayControl>;
  upstreams: () => UpstreamEntry[];
  onUpstreams: (entries: UpstreamEntry[]) => void;
  timer: Timer;
  log: Logger;
}

/** Hosts that register within this time change the neighbours together. */
const RECONCILE_DELAY_MS = 100;
/** Delay before a newer configuration is fetched from a sibling. */
const CONFIG_FETCH_DELAY_MS = 150;
const REQUEST_TIMEOUT_MS = 700;
const SYNC_INTERVAL_MS = 1_000;
const RELAY_TIMEOUT_MS = 1_000;
/**
 * A front of an earlier build that sent no digest for this long is not counted
 * any more. It sends one every 45 ms for each of its siblings.
 */
const DIGEST_TTL_PER_SIBLING_MS = 120;
const MIN_DIGEST_TTL_MS = 1_200;

/**
 * The sibling fronts: who is connected, what they report, news to and from all
 * of them, and requests to one of them.
 */
export class Siblings {
  readonly #opts: SiblingsOptions;
  readonly #links: SiblingLinks;
  readonly #gossip: Gossip<FrontReport, FrontNews>;
  readonly #server: LinkServer<FrontMethods, FrontNotices, FrontStreams>;
  #seeds: string[];
  #rings: Rings | undefined;
  /** The newest configuration that a sibling has announced. */
  #announcedConfig: { version: number; host: string } | undefined;
  #isFetchingConfig = false;
  #isReconcileScheduled = false;

  constructor(opts: SiblingsOptions) {
    this.#opts = opts;
    this.#seeds = opts.seeds;
    this.#links = new SiblingLinks({
      ...opts,
      addressOf: (host) => opts.fleet.front(host)?.linkAddress,
      onOpen: (host) => this.#gossip.openLink(host),
      onLost: (host) => this.#gossip.closeLink(host),
    });
    this.#gossip = new Gossip({
      ...opts,
      state: opts.report,
      send: (host, message) =>
        this.#links.open(host)?.notify("gossip", message),
      onNeighboursHeard: () => this.#scheduleReconcile(),
    });
    this.#server = this.#createServer();
  }

  async start(): Promise<void> {
    const { timer, fleet, linkAddress } = this.#opts;
    await this.#server.listen(linkAddress);
    fleet.onHostsChanged(() => {
      this.#rings = undefined;
      this.#scheduleReconcile();
    });
    this.#opts.configWatcher.onConfig(({ version }) =>
      this.publish({ kind: "config", version })
    );
    this.#links.start();
    this.#gossip.start();
    this.#reconcile();
    timer.every(SYNC_INTERVAL_MS, () => {
      this.#reconcile();
      this.#syncFromSibling();
      this.#scheduleConfigFetch();
    });
  }

  close(): void {
    this.#links.close();
    this.#server.close();
  }

  /** Sets the addresses to dial in addition to the registered fronts. */
  setSeeds(seeds: string[]): void {
    this.#seeds = seeds;
    this.#reconcile();
  }

  /** Returns the state of a sibling; undefined if it is not connected. */
  stateOf(host: string): FrontState | undefined {
    return this.#gossip.stateOf(host)?.state;
  }

  /** Names of the siblings that are connected, directly or over others. */
  get connectedHosts(): string[] {
    return [...this.#gossip.connectedHosts];
  }

  /** Names of the connected siblings that reach the platform's store. */
  get storeReaderCandidates(): string[] {
    return this.connectedHosts.filter((it) =>
      this.#gossip.stateOf(it)?.reachesStore
    );
  }

  /** Broadcasts news to all connected siblings. */
  publish(news: FrontNews): void {
    this.#gossip.publish(news);
  }

  /** Reports this front's state at once if it has changed. */
  reportNow(): void {
    this.#gossip.refresh();
    this.#gossip.flush();
  }

  /** Whether a sibling can forward requests to turn stores. */
  get canRelay(): boolean {
    return this.#chooseRelayLink() !== undefined;
  }

  /**
   * Sends a request to a turn store through a sibling.
   *
   * @throws {Error} when no linked sibling reaches the turn stores
   */
  async relay(it: FrontMethods["relay"]["args"]): Promise<unknown> {
    const link = this.#chooseRelayLink();
    if (!link) throw new Error("no linked sibling reaches the turn stores");
    return await link.request("relay", it, RELAY_TIMEOUT_MS);
  }

  relaySettle(it: FrontNotices["settle"]): void {
    this.#chooseRelayLink()?.notify("settle", it);
  }

  #chooseRelayLink(): FrontLink | undefined {
    const host = pickRandom(this.#linkedHosts((it) => it.reachesTurnStores));
    return host === undefined ? undefined : this.#links.open(host);
  }

  /**
   * Chooses a sibling that reaches upstreams itself, with the fewest changes of
   * data centre on the way to the upstreams of one. Returns undefined if there
   * is none.
   */
  chooseExchangeRelay(dataCentre: string | undefined): OpenRelay | undefined {
    const { fleet, dataCentre: own } = this.#opts;
    const crossings = (host: string) => {
      const location = fleet.front(host)?.dataCentre;
      return Number(location !== own) + Number(location !== dataCentre);
    };
    const candidates = this.#linkedHosts((it) => it.reachesUpstreams);
    const least = Math.min(...candidates.map(crossings));
    const host = pickRandom(
      candidates.filter((it) => crossings(it) === least),
    );
    const link = host === undefined ? undefined : this.#links.open(host);
    return link &&
      ((args, handlers) => link.open("exchange", args, handlers));
  }

  /**
   * Returns the siblings with an open link whose report fits. If there are
   * none, dials another one for later.
   */
  #linkedHosts(fits: (report: FrontReport) => boolean): string[] {
    const isFit = (host: string) => {
      const report = this.#gossip.stateOf(host);
      return report !== undefined && fits(report);
    };
    const linked = this.#links.openHosts().filter(isFit);
    if (linked.length > 0) return linked;
    const host = pickRandom(this.connectedHosts.filter(isFit));
    if (host !== undefined) this.#dialAhead(host);
    return [];
  }

  #dialAhead(host: string): void {
    this.#links.reach(host, REQUEST_TIMEOUT_MS).catch((err) =>
      this.#opts.log.debug(`front ${host} is not linked: ${String(err)}`)
    );
  }

  /** Sends a load report to one sibling. */
  sendLoads(host: string, report: LoadReport): void {
    this.#notify(host, "loads", report);
  }

  /**
   * Asks a sibling for the load of all other fronts.
   *
   * @throws {Error} when the sibling does not answer in time
   */
  async queryLoads(
    host: string,
    upstreams: string[],
    timeoutMs: number,
  ): Promise<FrontMethods["loads"]["result"]["loads"]> {
    const link = await this.#links.reach(host, timeoutMs);
    const args = { host: this.#opts.self, upstreams };
    return (await link.request("loads", args, timeoutMs)).loads;
  }

  /**
   * Asks the collector of an upstream for a permit.
   *
   * @throws {Error} when the sibling does not answer in time
   */
  async queryPermit(
    host: string,
    query: FrontMethods["permit"]["args"],
    timeoutMs: number,
  ): Promise<FrontMethods["permit"]["result"]> {
    const link = await this.#links.reach(host, timeoutMs);
    return await link.request("permit", query, timeoutMs);
  }

  #notify<K extends keyof FrontNotices & string>(
    host: string,
    name: K,
    body: FrontNotices[K],
  ): void {
    const open = this.#links.open(host);
    if (open) return open.notify(name, body);
    this.#links.reach(host, REQUEST_TIMEOUT_MS).then(
      (link) => link.notify(name, body),
      (err) =>
        this.#opts.log.debug(`cannot send ${name} to ${host}: ${String(err)}`),
    );
  }

  #createServer(): LinkServer<FrontMethods, FrontNotices, FrontStreams> {
    const opts = this.#opts;
    return new LinkServer<FrontMethods, FrontNotices, FrontStreams>({
      log: opts.log,
      methods: {
        config: () => ({ text: opts.configWatcher.text }),
        fleet: () => opts.fleet.snapshot(),
        upstreams: () => ({ entries: opts.upstreams() }),
        loads: (query) => ({ loads: opts.answerLoads(query) }),
        permit: (query) => opts.answerPermit(query),
        relay: (it) => opts.forward(it),
      },
      notices: {
        gossip: (body, from) => this.#applyGossip(body, from),
        digest: (digest) => this.#applyDigest(digest),
        loads: (report) => opts.onLoads(report),
        settle: (it) => opts.forwardSettle(it),
      },
      streams: { exchange: opts.serveExchange },
    });
  }

  #applyGossip(body: unknown, from: string): void {
    const message = toGossipMessage(body);
    if (message) return this.#gossip.receive(from, message);
    this.#opts.log.warn(`gossip of front ${from} is malformed; ignored`);
  }

  /** Applies the digest of a front of an earlier build, and answers it. */
  #applyDigest(digest: Digest): void {
    const ttlMs = Math.max(
      MIN_DIGEST_TTL_MS,
      DIGEST_TTL_PER_SIBLING_MS * this.#opts.fleet.fronts.length,
    );
    const { host, crashes, notices = [], configVersion, ...report } = digest;
    this.#gossip.recordGuest(
      host,
      { reachesUpstreams: true, ...report, reachesStore: false },
      ttlMs,
    );
    const news: FrontNews[] = [
      { kind: "config", version: configVersion },
      ...notices.map((notice) => ({ kind: "notice" as const, notice })),
      ...crashes.flatMap(({ fingerprint, upstreams }) =>
        upstreams.map((upstream) => ({
          kind: "crash" as const,
          fingerprint,
          upstream,
        }))
      ),
    ];
    this.#gossip.receive(host, { reports: [], news });
    this.#notify(host, "digest", this.#createDigest());
  }

  /** Returns the digest that fronts of an earlier build expect. */
  #createDigest(): Digest {
    const { self, report, configWatcher, recentNews } = this.#opts;
    const { state, reachesTurnStores, reachesUpstreams } = report();
    const news = recentNews();
    return {
      host: self,
      state,
      reachesTurnStores,
      reachesUpstreams,
      configVersion: configWatcher.config?.version ?? -1,
      crashes: news.filter((it) => it.kind === "crash")
        .map(({ fingerprint, upstream }) => ({
          fingerprint,
          upstreams: [upstream],
        })),
      notices: news.filter((it) => it.kind === "notice")
        .map(({ notice }) => notice),
    };
  }

  /** A sibling has announced a newer configuration. */
  announceConfig(version: number, host: string): void {
    if (version <= (this.#announcedConfig?.version ?? -1)) return;
    this.#announcedConfig = { version, host };
    this.#scheduleConfigFetch();
  }

  /** Fetches a newer configuration unless the store delivers it meanwhile. */
  #scheduleConfigFetch(): void {
    if (this.#isFetchingConfig || !this.#lacksAnnouncedConfig) return;
    this.#isFetchingConfig = true;
    this.#opts.timer.after(CONFIG_FETCH_DELAY_MS, async () => {
      this.#isFetchingConfig = false;
      if (this.#lacksAnnouncedConfig) await this.#fetchConfig();
    });
  }

  get #lacksAnnouncedConfig(): boolean {
    const { configWatcher } = this.#opts;
    const current = configWatcher.config?.version ?? -1;
    return (this.#announcedConfig?.version ?? -1) > current;
  }

  async #fetchConfig(): Promise<void> {
    const { configWatcher, log } = this.#opts;
    const { version, host } = this.#announcedConfig ?? {};
    if (host === undefined) return;
    try {
      const link = await this.#links.reach(host, REQUEST_TIMEOUT_MS);
      const { text } = await link.request("config", {}, REQUEST_TIMEOUT_MS);
      if (text) configWatcher.apply(text, host);
    } catch (err) {
      log.warn(
        `fetching configuration version ${version} from ${host} failed: ` +
          String(err),
      );
    }
  }

  /** Fetches hosts and upstreams from a sibling if the store is unreachable. */
  async #syncFromSibling(): Promise<void> {
    const { fleet, configWatcher, log } = this.#opts;
    if (fleet.isStoreReachable) return;
    const host = pickRandom(this.#links.openHosts());
    const link = host === undefined ? undefined : this.#links.open(host);
    if (!link) return;
    try {
      fleet.merge(await link.request("fleet", {}, REQUEST_TIMEOUT_MS));
      const { entries } = await link.request(
        "upstreams",
        {},
        REQUEST_TIMEOUT_MS,
      );
      this.#opts.onUpstreams(entries);
      if (configWatcher.config) return;
      const { text } = await link.request("config", {}, REQUEST_TIMEOUT_MS);
      if (text) configWatcher.apply(text, link.address);
    } catch (err) {
      log.debug(`sibling did not answer: ${String(err)}`);
    }
  }

  #scheduleReconcile(): void {
    if (this.#isReconcileScheduled) return;
    this.#isReconcileScheduled = true;
    this.#opts.timer.after(RECONCILE_DELAY_MS, () => {
      this.#isReconcileScheduled = false;
      this.#reconcile();
    });
  }

  /** Chooses the neighbours anew and links them. */
  #reconcile(): void {
    const { fleet, self, dataCentre } = this.#opts;
    const siblings = fleet.hosts.filter((it) =>
      it.role === "front" && it.host !== self
    );
    const own = { host: self, dataCentre };
    this.#rings ??= new Rings(own, [own, ...siblings]);
    const neighbours = chooseNeighbours({
      self,
      hosts: [self, ...siblings.map((it) => it.host)],
      rings: this.#rings,
      isSilent: (host) => this.#gossip.isSilent(host),
    });
    this.#gossip.setNeighbours(neighbours);
    this.#gossip.retain((host) => fleet.front(host) !== undefined);
    const addresses = new Map<string, string>();
    for (const { host, linkAddress } of siblings) {
      if (neighbours.has(host)) addresses.set(host, linkAddress);
    }
    for (const seed of this.#unknownSeeds(siblings)) addresses.set(seed, seed);
    this.#links.setPermanent(addresses);
    for (const host of neighbours) {
      if (this.#links.open(host)) this.#gossip.openLink(host);
    }
  }

  /** Returns the seeds that are no registered front, known by address only. */
  #unknownSeeds(siblings: { linkAddress: string }[]): string[] {
    const known = new Set(siblings.map((it) => it.linkAddress));
    known.add(this.#opts.linkAddress);
    return this.#seeds.filter((it) => !known.has(it));
  }
}

function pickRandom<T>(values: T[]): T | undefined {
  return values[Math.floor(Math.random() * values.length)];
}
