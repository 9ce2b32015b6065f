import type { Fleet } from "@toucantrestle/fleet";
import {
  LinkServer,
  type StreamReceiver,
  type StreamServerHandlers,
} from "@toucantrestle/link";
import type { Logger } from "@toucantrestle/log";
import type { MemoryHolders } from "@toucantrestle/memory";
import { chooseNeighbours, Gossip, Rings } from "@toucantrestle/overlay";
import type { UpstreamProcess } from "@toucantrestle/routing";
import type { Timer } from "@toucantrestle/timer";
import type { ConfigWatcher } from "../config_watcher.ts";
import type {
  FrontStreams,
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
  UpstreamList,
} from "../protocol.ts";
import { ConfigFetcher } from "./config_fetcher.ts";
import { createDigest, readDigest } from "./earlier_build.ts";
import { toGossipMessage } from "./read_gossip.ts";
import { SiblingLinks } from "./sibling_links.ts";
import { pickRandom, SiblingRequests } from "./sibling_requests.ts";

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
  /** Answers a sibling's query for tokens of organisations. */
  answerQuota: (
    query: FrontMethods["quota"]["args"],
  ) => FrontMethods["quota"]["result"];
  /** Probes an upstream for a sibling. */
  answerProbe: (
    process: FrontMethods["probe"]["args"],
  ) => Promise<FrontMethods["probe"]["result"]>;
  /** Forwards a sibling's request to a turn store. */
  forward: (it: FrontMethods["relay"]["args"]) => Promise<unknown>;
  forwardSettle: (it: FrontNotices["settle"]) => void;
  /** Returns whether this front reaches an upstream at this moment. */
  reachesUpstreams: () => Promise<boolean>;
  /** Forwards a sibling's request to an upstream. */
  serveExchange: (
    args: RelayedRequest,
    receiver: StreamReceiver<RelayPart>,
  ) => StreamServerHandlers<RelayControl>;
  upstreams: () => UpstreamList;
  onUpstreams: (list: UpstreamList) => void;
  /** What keeps memory for peers. */
  holders?: MemoryHolders;
  timer: Timer;
  log: Logger;
}

/** Hosts that register within this time change the neighbours together. */
const RECONCILE_DELAY_MS = 100;
const REQUEST_TIMEOUT_MS = 700;
const SYNC_INTERVAL_MS = 1_000;
/**
 * A front of an earlier build that sent no digest for this long is not counted
 * any more. It sends one every 45 ms for each of its siblings.
 */
const DIGEST_TTL_PER_SIBLING_MS = 120;
const MIN_DIGEST_TTL_MS = 1_200;

/**
 * The sibling fronts: who is connected, what they report, and news to and from
 * all of them.
 */
export class Siblings {
  readonly #opts: SiblingsOptions;
  readonly #links: SiblingLinks;
  readonly #gossip: Gossip<FrontReport, FrontNews>;
  readonly #configFetcher: ConfigFetcher;
  /** Requests to one sibling. */
  readonly requests: SiblingRequests;
  readonly #server: LinkServer<FrontMethods, FrontNotices, FrontStreams>;
  #seeds: string[];
  #rings: Rings | undefined;
  #isReconcileScheduled = false;
  #reconciledAt = -Infinity;

  constructor(opts: SiblingsOptions) {
    this.#opts = opts;
    this.#seeds = opts.seeds;
    this.#links = new SiblingLinks({
      ...opts,
      addressOf: (host) => opts.fleet.front(host)?.linkAddress,
      onOpen: (host) => this.#gossip.openLink(host),
      onLost: (host) => this.#gossip.closeLink(host),
      confirmedAt: (host) => this.#gossip.confirmedAt(host),
    });
    this.#gossip = new Gossip({
      ...opts,
      state: opts.report,
      send: (host, message) =>
        this.#links.open(host)?.notify("gossip", message),
      onNeighbourChange: (host, isHeard) => {
        opts.log.info(
          `neighbour ${host} is ${isHeard ? "heard" : "not heard any more"}`,
          {
            event: isHeard ? "heard" : "silent",
            connected: this.connectedHosts.length,
          },
        );
        this.#scheduleReconcile();
      },
    });
    this.#configFetcher = new ConfigFetcher({ ...opts, links: this.#links });
    this.requests = new SiblingRequests({
      ...opts,
      links: this.#links,
      gossip: this.#gossip,
    });
    this.#server = this.#createServer();
  }

  /**
   * Links the siblings as soon as the address for links is free.
   *
   * @throws {ExitError} if the address stays in use
   * @throws {StoppedWaitingError} if the front stops meanwhile
   */
  async start(isStopping: () => boolean): Promise<void> {
    const { timer, fleet, linkAddress } = this.#opts;
    await this.#server.listen(linkAddress, { timer, isStopping });
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
    timer.every(SYNC_INTERVAL_MS, () => this.#reconcile());
    timer.every(SYNC_INTERVAL_MS, () => this.#syncFromSibling());
    timer.every(SYNC_INTERVAL_MS, () => this.#configFetcher.retry());
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

  /** Number of requests and streams of siblings that are in progress here. */
  get inProgressCount(): number {
    return this.#server.inProgressCount;
  }

  /** Returns the state of a sibling; undefined if it is not connected. */
  stateOf(host: string): FrontState | undefined {
    return this.#gossip.stateOf(host)?.state;
  }

  /** Load that a sibling's host can carry, in cores, if it reports it. */
  capacityOf(host: string): number | undefined {
    const capacity = this.#gossip.stateOf(host)?.capacity;
    const isKnown = Number.isFinite(capacity) && Number(capacity) > 0;
    return isKnown ? Number(capacity) : undefined;
  }

  /** Names of the siblings that are connected, directly or over others. */
  get connectedHosts(): string[] {
    return [...this.#gossip.connectedHosts];
  }

  /** Number of neighbours that this front hears. */
  get heardNeighbourCount(): number {
    return this.#gossip.heardCount;
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

  /**
   * Lets a sibling that reaches upstreams probe one. Returns whether it accepts
   * connections; undefined if no sibling can tell.
   */
  async probeUpstream(
    { id, startedAt }: UpstreamProcess,
  ): Promise<boolean | undefined> {
    const host = pickRandom(
      this.#links.openHosts()
        .filter((it) => this.#gossip.stateOf(it)?.reachesUpstreams),
    );
    const link = host === undefined ? undefined : this.#links.open(host);
    if (!link) return undefined;
    try {
      const process = { id, startedAt };
      return (await link.request("probe", process, REQUEST_TIMEOUT_MS))
        .isListening;
    } catch (err) {
      this.#opts.log.debug(`front ${host} has not probed ${id}: ${err}`);
      return undefined;
    }
  }

  #createServer(): LinkServer<FrontMethods, FrontNotices, FrontStreams> {
    const opts = this.#opts;
    return new LinkServer<FrontMethods, FrontNotices, FrontStreams>({
      log: opts.log,
      holders: opts.holders,
      methods: {
        config: () => ({ text: opts.configWatcher.text }),
        fleet: () => opts.fleet.snapshot(),
        upstreams: () => opts.upstreams(),
        loads: (query) => ({ loads: opts.answerLoads(query) }),
        permit: (query) => opts.answerPermit(query),
        quota: (query) => opts.answerQuota(query),
        relay: (it) => opts.forward(it),
        reaches_upstreams: async () => ({
          isReached: await opts.reachesUpstreams(),
        }),
        probe: (process) => opts.answerProbe(process),
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
    const { host, report, news } = readDigest(digest);
    this.#gossip.recordGuest(host, report, ttlMs);
    this.#gossip.receive(host, { reports: [], news });
    const { self, report: ownReport, recentNews, configWatcher } = this.#opts;
    const answer = createDigest(self, {
      report: ownReport(),
      news: recentNews(),
      configVersion: configWatcher.config?.version ?? -1,
    });
    this.requests.notify(host, "digest", answer);
  }

  /** A sibling has announced a newer configuration. */
  announceConfig(version: number, host: string): void {
    this.#configFetcher.announce(version, host);
  }

  /** Fetches hosts and upstreams from a sibling if the store is unreachable. */
  async #syncFromSibling(): Promise<void> {
    const { fleet, configWatcher, report, log } = this.#opts;
    if (report().reachesStore) return;
    const host = pickRandom(this.#links.openHosts());
    const link = host === undefined ? undefined : this.#links.open(host);
    if (!link) return;
    try {
      fleet.merge(await link.request("fleet", {}, REQUEST_TIMEOUT_MS));
      this.#opts.onUpstreams(
        await link.request("upstreams", {}, REQUEST_TIMEOUT_MS),
      );
      if (configWatcher.config) return;
      const { text } = await link.request("config", {}, REQUEST_TIMEOUT_MS);
      if (text) configWatcher.apply(text, link.address);
    } catch (err) {
      log.debug(`sibling did not answer: ${String(err)}`);
    }
  }

  /** Reconciles at once, or together with what changes a short time after. */
  #scheduleReconcile(): void {
    if (this.#isReconcileScheduled) return;
    const sinceLastMs = this.#opts.timer.monotonicNow() - this.#reconciledAt;
    if (sinceLastMs >= RECONCILE_DELAY_MS) return this.#reconcile();
    this.#isReconcileScheduled = true;
    this.#opts.timer.after(RECONCILE_DELAY_MS, () => {
      this.#isReconcileScheduled = false;
      this.#reconcile();
    });
  }

  /** Chooses the neighbours anew and links them. */
  #reconcile(): void {
    const { fleet, self, dataCentre, timer } = this.#opts;
    this.#reconciledAt = timer.monotonicNow();
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
    // A front that stops leaves the registry and is still in touch for a time.
    for (const host of this.#gossip.neighbours) {
      const isRegistered = fleet.front(host) !== undefined;
      if (!isRegistered && this.#links.open(host)) neighbours.add(host);
    }
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
