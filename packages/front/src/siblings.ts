import type { Fleet } from "@toucantrestle/fleet";
import {
  LinkClient,
  LinkServer,
  type StreamReceiver,
  type StreamServerHandlers,
} from "@toucantrestle/link";
import type { Logger } from "@toucantrestle/log";
import type { Timer } from "@toucantrestle/timer";
import type { ConfigWatcher } from "./config_watcher.ts";
import type {
  FrontStreams,
  OpenRelay,
  RelayControl,
  RelayedRequest,
  RelayPart,
} from "./exchange_relay.ts";
import type {
  Digest,
  FrontMethods,
  FrontNotices,
  FrontState,
  LoadReport,
} from "./protocol.ts";
import type { UpstreamEntry } from "@toucantrestle/routing";

/** Options of `Siblings`. */
export interface SiblingsOptions {
  self: string;
  dataCentre: string;
  linkAddress: string;
  /** Link addresses of siblings, for a start while the store is unreachable. */
  seeds: string[];
  fleet: Fleet;
  configWatcher: ConfigWatcher;
  digest: () => Digest;
  onDigest: (digest: Digest) => void;
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
  forward: RelayHandlers["relay"];
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

/** A sibling that was heard recently. */
interface FreshSibling {
  digest: Digest;
  link: FrontLink;
}

interface RelayHandlers {
  relay: (it: FrontMethods["relay"]["args"]) => Promise<unknown>;
}

type FrontLink = LinkClient<FrontMethods, FrontNotices, FrontStreams>;

const MIN_DIGEST_INTERVAL_MS = 250;
const MIN_PING_INTERVAL_MS = 500;
/**
 * Time between two digests, and between two pings, for each sibling. It bounds
 * the messages that a front sends per second, however many fronts there are.
 */
const DIGEST_INTERVAL_PER_SIBLING_MS = 45;
const PING_INTERVAL_PER_SIBLING_MS = 120;
/** A digest older than this multiple of its interval is stale. */
const DIGEST_TTL_FACTOR = 2.6;
const MIN_DIGEST_TTL_MS = 1_200;
/** Delay before a newer configuration is fetched from a sibling. */
const CONFIG_FETCH_DELAY_MS = 150;
const REQUEST_TIMEOUT_MS = 700;
const SYNC_INTERVAL_MS = 1_000;
const RELAY_TIMEOUT_MS = 1_000;

/**
 * Links to the sibling fronts. They carry digests (state, load and crashes),
 * newer configurations, and requests relayed to turn stores.
 */
export class Siblings {
  readonly #opts: SiblingsOptions;
  readonly #links = new Map<string, FrontLink>();
  readonly #digests = new Map<string, { digest: Digest; receivedAt: number }>();
  readonly #server: LinkServer<FrontMethods, FrontNotices, FrontStreams>;
  #seeds: string[];
  #isFetchingConfig = false;

  constructor(opts: SiblingsOptions) {
    this.#opts = opts;
    this.#seeds = opts.seeds;
    this.#server = new LinkServer<FrontMethods, FrontNotices, FrontStreams>({
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
        digest: (digest) => this.#applyDigest(digest),
        loads: (report) => opts.onLoads(report),
        settle: (it) => opts.forwardSettle(it),
      },
      streams: { exchange: opts.serveExchange },
    });
  }

  async start(): Promise<void> {
    const { timer, fleet } = this.#opts;
    await this.#server.listen(this.#opts.linkAddress);
    fleet.onHostsChanged(() => this.#reconcileLinks());
    this.#reconcileLinks();
    this.#scheduleDigest();
    timer.every(SYNC_INTERVAL_MS, () => this.#syncFromSibling());
  }

  close(): void {
    for (const link of this.#links.values()) link.close();
    this.#server.close();
  }

  /** Sets the addresses to dial in addition to the registered fronts. */
  setSeeds(seeds: string[]): void {
    this.#seeds = seeds;
    this.#reconcileLinks();
  }

  /** Returns the state in a sibling's last digest; undefined if it is stale. */
  stateOf(host: string): FrontState | undefined {
    const received = this.#digests.get(host);
    if (!received) return undefined;
    const age = this.#opts.timer.monotonicNow() - received.receivedAt;
    // A link closes at once when its host's process ends.
    const isLinked = this.#links.get(host)?.isOpen === true;
    if (!isLinked && age >= MIN_DIGEST_TTL_MS) return undefined;
    return age < this.#digestTtlMs ? received.digest.state : undefined;
  }

  /** Whether a sibling can forward requests to turn stores. */
  get canRelay(): boolean {
    return this.#chooseRelayLink() !== undefined;
  }

  /**
   * Sends a request to a turn store through a sibling.
   *
   * @throws {Error} when no connected sibling reaches the turn stores
   */
  async relay(it: FrontMethods["relay"]["args"]): Promise<unknown> {
    const link = this.#chooseRelayLink();
    if (!link) throw new Error("no connected sibling reaches the turn stores");
    return await link.request("relay", it, RELAY_TIMEOUT_MS);
  }

  relaySettle(it: FrontNotices["settle"]): void {
    this.#chooseRelayLink()?.notify("settle", it);
  }

  #chooseRelayLink(): FrontLink | undefined {
    const candidates = this.#freshSiblings()
      .filter((it) => it.digest.reachesTurnStores);
    return candidates[Math.floor(Math.random() * candidates.length)]?.link;
  }

  /**
   * Chooses a sibling that reaches upstreams itself, with the fewest changes of
   * data centre on the way to the upstreams of one. Returns undefined if there
   * is none.
   */
  chooseExchangeRelay(dataCentre: string | undefined): OpenRelay | undefined {
    const { fleet, dataCentre: own } = this.#opts;
    const locations = new Map(
      fleet.hosts.map((it) => [it.host, it.dataCentre]),
    );
    const crossings = ({ digest }: FreshSibling) => {
      const location = locations.get(digest.host);
      return Number(location !== own) + Number(location !== dataCentre);
    };
    const candidates = this.#freshSiblings()
      .filter((it) => it.digest.reachesUpstreams);
    const least = Math.min(...candidates.map(crossings));
    const closest = candidates.filter((it) => crossings(it) === least);
    const link = closest[Math.floor(Math.random() * closest.length)]?.link;
    return link &&
      ((args, handlers) => link.open("exchange", args, handlers));
  }

  /** Siblings with an open link and a recent digest. */
  #freshSiblings(): FreshSibling[] {
    const now = this.#opts.timer.monotonicNow();
    const fresh: FreshSibling[] = [];
    for (const [host, { digest, receivedAt }] of this.#digests) {
      const link = this.#links.get(host);
      const isFresh = now - receivedAt < this.#digestTtlMs;
      if (isFresh && link?.isOpen) fresh.push({ digest, link });
    }
    return fresh;
  }

  /** Broadcasts a digest immediately, for example when this front stops. */
  broadcastNow(): void {
    this.#broadcastDigest();
  }

  /** Names of the siblings that are linked and were heard recently. */
  get connectedHosts(): string[] {
    const hosts: string[] = [];
    for (const [host, link] of this.#links) {
      if (link.isOpen && this.stateOf(host)) hosts.push(host);
    }
    return hosts;
  }

  /** Sends a load report to one sibling. */
  sendLoads(host: string, report: LoadReport): void {
    this.#links.get(host)?.notify("loads", report);
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
    const link = this.#links.get(host);
    if (!link) throw new Error(`no link to front ${host}`);
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
    const link = this.#links.get(host);
    if (!link) throw new Error(`no link to front ${host}`);
    return await link.request("permit", query, timeoutMs);
  }

  get #digestIntervalMs(): number {
    return Math.max(
      MIN_DIGEST_INTERVAL_MS,
      DIGEST_INTERVAL_PER_SIBLING_MS * this.#links.size,
    );
  }

  get #digestTtlMs(): number {
    return Math.max(
      MIN_DIGEST_TTL_MS,
      DIGEST_TTL_FACTOR * this.#digestIntervalMs,
    );
  }

  get #pingIntervalMs(): number {
    return Math.max(
      MIN_PING_INTERVAL_MS,
      PING_INTERVAL_PER_SIBLING_MS * this.#links.size,
    );
  }

  #scheduleDigest(): void {
    this.#opts.timer.after(this.#digestIntervalMs, () => {
      this.#broadcastDigest();
      this.#scheduleDigest();
    });
  }

  #broadcastDigest(): void {
    const digest = this.#opts.digest();
    for (const link of this.#links.values()) link.notify("digest", digest);
  }

  #applyDigest(digest: Digest): void {
    this.#digests.set(digest.host, {
      digest,
      receivedAt: this.#opts.timer.monotonicNow(),
    });
    this.#opts.onDigest(digest);
    const { configWatcher } = this.#opts;
    if (digest.configVersion > (configWatcher.config?.version ?? -1)) {
      this.#fetchConfig(digest.host, digest.configVersion);
    }
  }

  #fetchConfig(host: string, version: number): void {
    if (this.#isFetchingConfig) return;
    this.#isFetchingConfig = true;
    this.#opts.timer.after(CONFIG_FETCH_DELAY_MS, async () => {
      this.#isFetchingConfig = false;
      const { configWatcher, log } = this.#opts;
      if ((configWatcher.config?.version ?? -1) >= version) return;
      try {
        const link = this.#links.get(host);
        const reply = await link?.request("config", {}, REQUEST_TIMEOUT_MS);
        if (reply?.text) configWatcher.apply(reply.text, host);
      } catch (err) {
        log.warn(
          `fetching configuration version ${version} from ${host} failed: ` +
            String(err),
        );
      }
    });
  }

  /** Fetches hosts and upstreams from a sibling if the store is unreachable. */
  async #syncFromSibling(): Promise<void> {
    const { fleet, log } = this.#opts;
    if (fleet.isStoreReachable) return;
    const link = [...this.#links.values()].find((it) => it.isOpen);
    if (!link) return;
    try {
      fleet.merge(await link.request("fleet", {}, REQUEST_TIMEOUT_MS));
      const { entries } = await link.request(
        "upstreams",
        {},
        REQUEST_TIMEOUT_MS,
      );
      this.#opts.onUpstreams(entries);
      this.#reconcileLinks();
    } catch (err) {
      log.debug(`sibling did not answer: ${String(err)}`);
    }
  }

  #reconcileLinks(): void {
    const { fleet, self, linkAddress } = this.#opts;
    const desired = new Map<string, string>();
    for (const it of fleet.hosts) {
      if (it.role === "front" && it.host !== self) {
        desired.set(it.host, it.linkAddress);
      }
    }
    const known = new Set(desired.values());
    for (const seed of this.#seeds) {
      if (seed !== linkAddress && !known.has(seed)) desired.set(seed, seed);
    }
    for (const [host, link] of this.#links) {
      const isDesired = desired.get(host) === link.address;
      if (isDesired || (link.isOpen && host !== link.address)) continue;
      link.close();
      this.#links.delete(host);
    }
    for (const [host, address] of desired) {
      if (!this.#links.has(host)) this.#dial(host, address);
    }
  }

  #dial(host: string, address: string): void {
    const { self, timer, log } = this.#opts;
    const link: FrontLink = new LinkClient({
      self,
      address,
      timer,
      log,
      pingIntervalMs: () => this.#pingIntervalMs,
    });
    this.#links.set(host, link);
  }
}
