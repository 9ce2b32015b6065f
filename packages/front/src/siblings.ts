import type { Fleet } from "@toucantrestle/fleet";
import { LinkClient, LinkServer } from "@toucantrestle/link";
import type { Logger } from "@toucantrestle/log";
import type { Timer } from "@toucantrestle/timer";
import type { ConfigWatch } from "./config_watch.ts";
import type {
  Digest,
  FrontMethods,
  FrontNotices,
  FrontState,
} from "./protocol.ts";
import type { UpstreamEntry } from "@toucantrestle/routing";

/** Settings of the links between fronts. */
export interface SiblingsOptions {
  self: string;
  linkAddress: string;
  /** Link addresses of some fronts, for a start while the store is away. */
  seeds: string[];
  fleet: Fleet;
  configs: ConfigWatch;
  digest: () => Digest;
  onDigest: (digest: Digest) => void;
  /** Passes what a sibling wants on to a turn store. */
  forward: FrontLinkHandlers["relay"];
  forwardSettle: (it: FrontNotices["settle"]) => void;
  upstreams: () => UpstreamEntry[];
  onUpstreams: (entries: UpstreamEntry[]) => void;
  timer: Timer;
  log: Logger;
}

interface FrontLinkHandlers {
  relay: (it: FrontMethods["relay"]["args"]) => Promise<unknown>;
}

type FrontLink = LinkClient<FrontMethods, FrontNotices>;

const DIGEST_MS = 250;
/** A digest counts for this long. */
const DIGEST_LIFE_MS = 1_200;
/** A newer version at a sibling is fetched after this long. */
const CONFIG_FETCH_MS = 150;
const ASK_TIMEOUT_MS = 700;
const ASK_MS = 1_000;
const RELAY_TIMEOUT_MS = 1_000;

/** Links between fronts: who is ready, what each has sent, newer versions. */
export class Siblings {
  readonly #opts: SiblingsOptions;
  readonly #links = new Map<string, FrontLink>();
  readonly #digests = new Map<string, { digest: Digest; at: number }>();
  readonly #server: LinkServer<FrontMethods, FrontNotices>;
  #seeds: string[];
  #isFetching = false;

  constructor(opts: SiblingsOptions) {
    this.#opts = opts;
    this.#seeds = opts.seeds;
    this.#server = new LinkServer<FrontMethods, FrontNotices>({
      log: opts.log,
      methods: {
        config: () => ({ text: opts.configs.text }),
        fleet: () => opts.fleet.snapshot(),
        upstreams: () => ({ entries: opts.upstreams() }),
        relay: (it) => opts.forward(it),
      },
      notices: {
        digest: (digest) => this.#take(digest),
        settle: (it) => opts.forwardSettle(it),
      },
    });
  }

  async start(): Promise<void> {
    const { timer, fleet } = this.#opts;
    await this.#server.listen(this.#opts.linkAddress);
    fleet.onHosts(() => this.#dialAll());
    this.#dialAll();
    timer.every(DIGEST_MS, () => this.#send());
    timer.every(ASK_MS, () => this.#askWhileCutOff());
  }

  close(): void {
    for (const link of this.#links.values()) link.close();
    this.#server.close();
  }

  /** Dials these fronts beside those that are registered. */
  setSeeds(seeds: string[]): void {
    this.#seeds = seeds;
    this.#dialAll();
  }

  /** What a sibling said of itself lately; undefined when it is silent. */
  stateOf(host: string): FrontState | undefined {
    const known = this.#digests.get(host);
    if (!known) return undefined;
    const age = this.#opts.timer.steady() - known.at;
    return age < DIGEST_LIFE_MS ? known.digest.state : undefined;
  }

  /** Whether a sibling can pass requests on to turn stores. */
  get canRelay(): boolean {
    return this.#relayLink() !== undefined;
  }

  /** Asks a turn store through a sibling. */
  async relay(it: FrontMethods["relay"]["args"]): Promise<unknown> {
    const link = this.#relayLink();
    if (!link) throw new Error("no sibling reaches the turn stores");
    return await link.request("relay", it, RELAY_TIMEOUT_MS);
  }

  relaySettle(it: FrontNotices["settle"]): void {
    this.#relayLink()?.notify("settle", it);
  }

  #relayLink(): FrontLink | undefined {
    const usable: FrontLink[] = [];
    const now = this.#opts.timer.steady();
    for (const [host, { digest, at }] of this.#digests) {
      const link = this.#links.get(host);
      const isFresh = now - at < DIGEST_LIFE_MS;
      if (isFresh && digest.reachesTurnStores && link?.isOpen) {
        usable.push(link);
      }
    }
    return usable[Math.floor(Math.random() * usable.length)];
  }

  /** Tells all siblings at once, as when this front stops. */
  tellNow(): void {
    this.#send();
  }

  #send(): void {
    const digest = this.#opts.digest();
    for (const link of this.#links.values()) link.notify("digest", digest);
  }

  #take(digest: Digest): void {
    this.#digests.set(digest.host, { digest, at: this.#opts.timer.steady() });
    this.#opts.onDigest(digest);
    const { configs } = this.#opts;
    if (digest.configVersion > (configs.config?.version ?? -1)) {
      this.#fetchConfig(digest.host, digest.configVersion);
    }
  }

  #fetchConfig(host: string, version: number): void {
    if (this.#isFetching) return;
    this.#isFetching = true;
    this.#opts.timer.after(CONFIG_FETCH_MS, async () => {
      this.#isFetching = false;
      const { configs, log } = this.#opts;
      if ((configs.config?.version ?? -1) >= version) return;
      try {
        const link = this.#links.get(host);
        const reply = await link?.request("config", {}, ASK_TIMEOUT_MS);
        if (reply?.text) configs.take(reply.text, host);
      } catch (err) {
        log.warn(`version ${version} cannot be fetched: ${String(err)}`);
      }
    });
  }

  /** Learns hosts and upstreams from siblings while the store is away. */
  async #askWhileCutOff(): Promise<void> {
    const { fleet, log } = this.#opts;
    if (fleet.isStoreReachable) return;
    const link = [...this.#links.values()].find((it) => it.isOpen);
    if (!link) return;
    try {
      fleet.merge(await link.request("fleet", {}, ASK_TIMEOUT_MS));
      const { entries } = await link.request("upstreams", {}, ASK_TIMEOUT_MS);
      this.#opts.onUpstreams(entries);
      this.#dialAll();
    } catch (err) {
      log.debug(`sibling does not answer: ${String(err)}`);
    }
  }

  #dialAll(): void {
    const { fleet, self, linkAddress } = this.#opts;
    const wanted = new Map<string, string>();
    for (const it of fleet.hosts) {
      if (it.role === "front" && it.host !== self) {
        wanted.set(it.host, it.linkAddress);
      }
    }
    const known = new Set(wanted.values());
    for (const seed of this.#seeds) {
      if (seed !== linkAddress && !known.has(seed)) wanted.set(seed, seed);
    }
    for (const [host, link] of this.#links) {
      const isWanted = wanted.get(host) === link.address;
      if (isWanted || (link.isOpen && host !== link.address)) continue;
      link.close();
      this.#links.delete(host);
    }
    for (const [host, address] of wanted) {
      if (!this.#links.has(host)) this.#dial(host, address);
    }
  }

  #dial(host: string, address: string): void {
    const { self, timer, log } = this.#opts;
    const link: FrontLink = new LinkClient({ self, address, timer, log });
    this.#links.set(host, link);
  }
}
