import { LinkClient, LinkError } from "@toucantrestle/link";
import type { Logger } from "@toucantrestle/log";
import type { MemoryHolders } from "@toucantrestle/memory";
import type { Timer } from "@toucantrestle/timer";
import type { FrontStreams } from "../exchange_relay.ts";
import type { FrontMethods, FrontNotices } from "../protocol.ts";

/** Link that this front has dialled. */
export type FrontLink = LinkClient<FrontMethods, FrontNotices, FrontStreams>;

/** Options of `SiblingLinks`. */
export interface SiblingLinksOptions {
  self: string;
  /** Returns the link address of a registered front. */
  addressOf: (host: string) => string | undefined;
  onOpen: (host: string) => void;
  onLost: (host: string) => void;
  /** Returns when a host was last known to hear this one, in ms. */
  confirmedAt: (host: string) => number;
  timer: Timer;
  log: Logger;
  /** What keeps memory for peers. */
  holders?: MemoryHolders;
}

interface KeptLink {
  link: FrontLink;
  usedAt: number;
}

const PING_INTERVAL_MS = 800;
/** A link to a host that is no neighbour is closed when unused for so long. */
const IDLE_TIMEOUT_MS = 15_000;
const SWEEP_INTERVAL_MS = 5_000;

/**
 * Links to sibling fronts: permanent ones to the neighbours, and others that
 * are dialled when they are needed and closed when they are idle.
 */
export class SiblingLinks {
  readonly #opts: SiblingLinksOptions;
  readonly #links = new Map<string, KeptLink>();
  /** Links to earlier addresses of hosts, with requests still in progress. */
  readonly #replaced = new Set<FrontLink>();
  /** Hosts whose links stay open. */
  #permanent: ReadonlySet<string> = new Set();
  #isClosed = false;

  constructor(opts: SiblingLinksOptions) {
    this.#opts = opts;
  }

  start(): void {
    this.#opts.timer.every(SWEEP_INTERVAL_MS, () => this.#closeIdle());
  }

  /** Closes all links; none is dialled any more. */
  close(): void {
    this.#isClosed = true;
    for (const { link } of this.#links.values()) link.close();
    for (const link of this.#replaced) link.close();
  }

  /** Keeps links to these hosts, by name with their addresses. */
  setPermanent(addresses: ReadonlyMap<string, string>): void {
    if (this.#isClosed) return;
    this.#permanent = new Set(addresses.keys());
    for (const [host, address] of addresses) this.#ensure(host, address);
  }

  /** Returns the link to a host if it is open. */
  open(host: string): FrontLink | undefined {
    const kept = this.#links.get(host);
    if (!kept?.link.isOpen) return undefined;
    kept.usedAt = this.#now;
    return kept.link;
  }

  /** Names of the hosts with an open link. */
  openHosts(): string[] {
    return [...this.#links]
      .filter(([, { link }]) => link.isOpen)
      .map(([host]) => host);
  }

  /**
   * Returns an open link to a host; dials it if there is none.
   *
   * @throws {LinkError} if the host is unknown, the link does not open within
   * `timeoutMs`, or all links are closed
   */
  async reach(host: string, timeoutMs: number): Promise<FrontLink> {
    if (this.#isClosed) throw new LinkError("all links are closed");
    const address = this.#opts.addressOf(host);
    if (!address) throw new LinkError(`no front ${host} is registered`);
    const kept = this.#ensure(host, address);
    kept.usedAt = this.#now;
    await kept.link.waitUntilOpen(timeoutMs);
    return kept.link;
  }

  get #now(): number {
    return this.#opts.timer.monotonicNow();
  }

  #ensure(host: string, address: string): KeptLink {
    const known = this.#links.get(host);
    if (known?.link.address === address) return known;
    if (known) this.#replace(host, known);
    const { self, timer, log, holders, onOpen, onLost } = this.#opts;
    const link: FrontLink = new LinkClient({
      self,
      address,
      timer,
      log,
      holders,
      pingIntervalMs: () => PING_INTERVAL_MS,
      confirmedAt: () => this.#opts.confirmedAt(host),
      onOpen: () => {
        if (this.#isCurrent(host, link)) onOpen(host);
      },
      onLost: () => {
        if (this.#isCurrent(host, link)) onLost(host);
      },
    });
    const kept = { link, usedAt: this.#now };
    this.#links.set(host, kept);
    return kept;
  }

  #isCurrent(host: string, link: FrontLink): boolean {
    return this.#links.get(host)?.link === link;
  }

  /** Drops a link to an address that the host has left, once it is idle. */
  #replace(host: string, { link }: KeptLink): void {
    if (link.isIdle) return this.#drop(host, { link });
    this.#replaced.add(link);
    this.#links.delete(host);
    if (link.isOpen) this.#opts.onLost(host);
  }

  #closeReplaced(): void {
    for (const link of this.#replaced) {
      if (!link.isIdle) continue;
      link.close();
      this.#replaced.delete(link);
    }
  }

  #closeIdle(): void {
    this.#closeReplaced();
    for (const [host, { link, usedAt }] of this.#links) {
      if (this.#permanent.has(host) || !link.isIdle) continue;
      if (this.#now - usedAt >= IDLE_TIMEOUT_MS) this.#drop(host, { link });
    }
  }

  #drop(host: string, { link }: Pick<KeptLink, "link">): void {
    const wasOpen = link.isOpen;
    link.close();
    this.#links.delete(host);
    if (wasOpen) this.#opts.onLost(host);
  }
}
