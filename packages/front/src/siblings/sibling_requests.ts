import type { Fleet } from "@toucantrestle/fleet";
import type { Logger } from "@toucantrestle/log";
import type { Gossip } from "@toucantrestle/overlay";
import type { OpenRelay } from "../exchange_relay.ts";
import type {
  FrontMethods,
  FrontNews,
  FrontNotices,
  FrontReport,
  FrontState,
  LoadReport,
} from "../protocol.ts";
import type { FrontLink, SiblingLinks } from "./sibling_links.ts";

/** Options of `SiblingRequests`. */
export interface SiblingRequestsOptions {
  self: string;
  dataCentre: string;
  fleet: Fleet;
  links: SiblingLinks;
  gossip: Pick<Gossip<FrontReport, FrontNews>, "connectedHosts" | "stateOf">;
  log: Logger;
}

const LINK_TIMEOUT_MS = 700;
const RELAY_TIMEOUT_MS = 1_000;
/** Covers two probes of the sibling, one after the other. */
const PROBE_TIMEOUT_MS = 900;

/** Siblings of a lower rank are preferred as relays. */
const RELAY_RANKS: Record<FrontState, number> = {
  ready: 0,
  starting: 1,
  stopping: 2,
};

/** Requests and notices to single siblings. */
export class SiblingRequests {
  readonly #opts: SiblingRequestsOptions;

  constructor(opts: SiblingRequestsOptions) {
    this.#opts = opts;
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
    const host = pickRandom(this.#relays((it) => it.reachesTurnStores));
    return host === undefined ? undefined : this.#opts.links.open(host);
  }

  /**
   * Chooses a sibling that reaches upstreams itself: one that is ready rather
   * than one that stops, then with the fewest changes of data centre on the way
   * to the upstreams of one. Returns undefined if there is none.
   */
  chooseExchangeRelay(dataCentre: string | undefined): OpenRelay | undefined {
    const { fleet, dataCentre: own } = this.#opts;
    const crossings = (host: string) => {
      const location = fleet.front(host)?.dataCentre;
      return Number(location !== own) + Number(location !== dataCentre);
    };
    const candidates = this.#relays((it) => it.reachesUpstreams);
    const least = Math.min(...candidates.map(crossings));
    const host = pickRandom(
      candidates.filter((it) => crossings(it) === least),
    );
    const link = host === undefined ? undefined : this.#opts.links.open(host);
    return link &&
      ((args, handlers) => link.open("exchange", args, handlers));
  }

  /**
   * Returns whether a sibling that may forward requests to upstreams reaches one
   * now. One of an earlier build cannot say so.
   */
  async confirmExchangeRelay(): Promise<boolean> {
    const host = pickRandom(this.#relays((it) => it.reachesUpstreams));
    const link = host === undefined ? undefined : this.#opts.links.open(host);
    if (!link) return false;
    try {
      const reply = await link.request(
        "reaches_upstreams",
        {},
        PROBE_TIMEOUT_MS,
      );
      return reply.isReached;
    } catch (err) {
      this.#opts.log.debug(`front ${host} reaches no upstream: ${String(err)}`);
      return false;
    }
  }

  /**
   * Returns the siblings of the lowest rank with an open link whose report
   * fits. If a sibling without a link has a lower rank, dials it for later.
   */
  #relays(fits: (report: FrontReport) => boolean): string[] {
    const { gossip, links } = this.#opts;
    const rankOf = (host: string) => {
      const report = gossip.stateOf(host);
      return report && fits(report) ? RELAY_RANKS[report.state] : Infinity;
    };
    const linked = lowest(links.openHosts(), rankOf);
    if (linked.rank === RELAY_RANKS.ready) return linked.values;
    const connected = lowest([...gossip.connectedHosts], rankOf);
    const best = pickRandom(connected.values);
    if (best !== undefined && connected.rank < linked.rank) {
      this.dialAhead(best);
    }
    return linked.values;
  }

  /** Opens a link to a sibling that will be needed. */
  dialAhead(host: string): void {
    this.#opts.links.reach(host, LINK_TIMEOUT_MS).catch((err) =>
      this.#opts.log.debug(`front ${host} is not linked: ${String(err)}`)
    );
  }

  /** Sends a load report to one sibling. */
  sendLoads(host: string, report: LoadReport): void {
    this.notify(host, "loads", report);
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
    const link = await this.#opts.links.reach(host, timeoutMs);
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
    const link = await this.#opts.links.reach(host, timeoutMs);
    return await link.request("permit", query, timeoutMs);
  }

  /**
   * Asks the allocator of a group of organisations for tokens.
   *
   * @throws {Error} when the sibling does not answer in time, or is of an
   * earlier build, which does not know the method
   */
  async queryQuota(
    host: string,
    query: FrontMethods["quota"]["args"],
    timeoutMs: number,
  ): Promise<FrontMethods["quota"]["result"]> {
    const link = await this.#opts.links.reach(host, timeoutMs);
    return await link.request("quota", query, timeoutMs);
  }

  /** Sends a notice to one sibling; dials it if there is no link. */
  notify<K extends keyof FrontNotices & string>(
    host: string,
    name: K,
    body: FrontNotices[K],
  ): void {
    const open = this.#opts.links.open(host);
    if (open) return open.notify(name, body);
    this.#opts.links.reach(host, LINK_TIMEOUT_MS).then(
      (link) => link.notify(name, body),
      (err) =>
        this.#opts.log.debug(`cannot send ${name} to ${host}: ${String(err)}`),
    );
  }
}

/** Returns the values with the lowest rank; none if it is infinite. */
function lowest<T>(
  values: T[],
  rankOf: (value: T) => number,
): { values: T[]; rank: number } {
  const rank = Math.min(...values.map(rankOf));
  const isLowest = (it: T) => rank < Infinity && rankOf(it) === rank;
  return { values: values.filter(isLowest), rank };
}

/** Returns one of the values; undefined if there are none. */
export function pickRandom<T>(values: T[]): T | undefined {
  return values[Math.floor(Math.random() * values.length)];
}
