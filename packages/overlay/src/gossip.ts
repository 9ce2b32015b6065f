import type { Timer } from "@toucantrestle/timer";
import { isDeepStrictEqual } from "node:util";
import { Outbox } from "./outbox.ts";
import { type Report, ReportTable } from "./report_table.ts";

/** What neighbours send each other; empty to show that the sender is alive. */
export interface GossipMessage<State, News> {
  reports: Report<State>[];
  news: News[];
}

/** Options of `Gossip`. */
export interface GossipOptions<State, News> {
  self: string;
  timer: Timer;
  /** Returns the state that this host reports. */
  state: () => State;
  /** Sends a message over the link to a neighbour; may drop it. */
  send: (neighbour: string, message: GossipMessage<State, News>) => void;
  /** Applies news. Returns whether they must be passed on. */
  applyNews: (news: News, from: string) => boolean;
  /** Returns the news for a neighbour that has just been linked. */
  recentNews: () => News[];
  /** Called when a neighbour is heard, or is not heard any more. */
  onNeighbourChange?: (neighbour: string, isHeard: boolean) => void;
}

/** A neighbour with the messages that wait for it. */
interface Neighbour<State, News> {
  /** When it was chosen, in ms. */
  since: number;
  /** When its last message was received, in ms. */
  heardAt: number;
  /** Undefined while the link to it is down. */
  outbox: Outbox<State, News> | undefined;
}

/** Each neighbour gets a message this often. */
const HEARTBEAT_INTERVAL_MS = 600;
/** A neighbour that was not heard for this long is not reported. */
const HEARD_TTL_MS = 1_300;
/**
 * A neighbour that is not heard within this time after it was chosen is silent.
 * Hosts that start together on slow processors need seconds to link.
 */
const FIRST_CONTACT_MS = 4_000;
/** News and reports within this time go out together. */
const FLUSH_DELAY_MS = 25;

/**
 * Link-state gossip between neighbours. Every host reports its state and the
 * neighbours that it hears; reports and news pass from neighbour to neighbour
 * whenever they change something, so that an idle fleet exchanges nothing but
 * heartbeats between neighbours, however large it is.
 */
export class Gossip<State, News> {
  readonly #opts: GossipOptions<State, News>;
  readonly #reports = new ReportTable<State>();
  readonly #neighbours = new Map<string, Neighbour<State, News>>();
  /** Hosts that are heard without being neighbours, and until when. */
  readonly #guests = new Map<string, { state: State; until: number }>();
  /** The report of this host; undefined before the start. */
  #own: Report<State> | undefined;
  #connected: Set<string> | undefined;
  #isFlushScheduled = false;
  #heartbeatAt = 0;

  constructor(opts: GossipOptions<State, News>) {
    this.#opts = opts;
  }

  /** Starts to report and to send. */
  start(): void {
    const { self, timer, state } = this.#opts;
    // The time exceeds the versions of earlier processes on this host.
    const version = timer.now();
    this.#heartbeatAt = this.#now;
    this.#setOwn({ host: self, version, neighbours: [], state: state() });
    timer.every(HEARTBEAT_INTERVAL_MS, () => this.#sendHeartbeats());
  }

  /** Names of the hosts that are connected, directly or over others. */
  get connectedHosts(): ReadonlySet<string> {
    this.#connected ??= this.#findConnected();
    return this.#connected;
  }

  /** Returns the reported state of a host; undefined if it is not connected. */
  stateOf(host: string): State | undefined {
    if (!this.connectedHosts.has(host)) return undefined;
    const guest = this.#guests.get(host);
    return guest ? guest.state : this.#reports.get(host)?.state;
  }

  /** Whether a host has not answered since it was chosen or last heard. */
  isSilent(host: string): boolean {
    const neighbour = this.#neighbours.get(host);
    if (!neighbour || this.#isHeard(neighbour)) return false;
    return this.#now - neighbour.since >= FIRST_CONTACT_MS;
  }

  /**
   * When a neighbour was last heard whose report says that it hears this host,
   * in ms; -Infinity if there is no such report.
   */
  confirmedAt(host: string): number {
    const neighbour = this.#neighbours.get(host);
    const isHeardThere = this.#reports.get(host)?.neighbours
      .includes(this.#opts.self);
    return neighbour && isHeardThere ? neighbour.heardAt : -Infinity;
  }

  /** Number of neighbours that were heard recently. */
  get heardCount(): number {
    return this.#own?.neighbours.length ?? 0;
  }

  /** Names of the hosts that messages are exchanged with. */
  get neighbours(): string[] {
    return [...this.#neighbours.keys()];
  }

  /** Sets the hosts to exchange messages with. */
  setNeighbours(hosts: ReadonlySet<string>): void {
    for (const host of this.#neighbours.keys()) {
      if (!hosts.has(host)) this.#neighbours.delete(host);
    }
    for (const host of hosts) {
      if (this.#neighbours.has(host)) continue;
      this.#neighbours.set(host, {
        since: this.#now,
        heardAt: -Infinity,
        outbox: undefined,
      });
    }
    this.#updateOwn();
  }

  /** Drops the reports of hosts that are neither known nor connected. */
  retain(isKnown: (host: string) => boolean): void {
    const connected = this.connectedHosts;
    for (const { host } of this.#reports.all()) {
      if (host === this.#opts.self || isKnown(host)) continue;
      if (!connected.has(host)) this.#reports.delete(host);
    }
  }

  /**
   * The link to a host is open: sends it all reports and recent news, if it is
   * a neighbour and has not got them already.
   */
  openLink(host: string): void {
    const neighbour = this.#neighbours.get(host);
    if (!neighbour || neighbour.outbox) return;
    neighbour.outbox = new Outbox();
    for (const report of this.#reports.all()) {
      neighbour.outbox.addReport(report);
    }
    for (const news of this.#opts.recentNews()) neighbour.outbox.addNews(news);
    this.#scheduleFlush();
  }

  /** The link to a host is lost. */
  closeLink(host: string): void {
    const neighbour = this.#neighbours.get(host);
    if (!neighbour) return;
    neighbour.outbox = undefined;
    this.#updateOwn();
  }

  /** Applies a message of another host. */
  receive(from: string, { reports, news }: GossipMessage<State, News>): void {
    const neighbour = this.#neighbours.get(from);
    if (neighbour) this.#hear(neighbour);
    for (const report of reports) {
      neighbour?.outbox?.recordKnown(report);
      this.#mergeReport(report);
    }
    for (const it of news) {
      if (this.#opts.applyNews(it, from)) this.#broadcast(it, from);
    }
  }

  /** Sends news to all connected hosts. */
  publish(news: News): void {
    this.#broadcast(news);
  }

  /** Reports the state of this host immediately if it has changed. */
  refresh(): void {
    this.#updateOwn();
  }

  /** Sends at once what waits for the neighbours. */
  flush(): void {
    for (const [host, { outbox }] of this.#neighbours) {
      if (outbox?.isEmpty === false) this.#opts.send(host, outbox.take());
    }
  }

  /** Records the state of a host that sends no reports, for a time in ms. */
  recordGuest(host: string, state: State, ttlMs: number): void {
    this.#guests.set(host, { state, until: this.#now + ttlMs });
    this.#connected = undefined;
  }

  get #now(): number {
    return this.#opts.timer.monotonicNow();
  }

  #isHeard({ heardAt, outbox }: Neighbour<State, News>): boolean {
    return outbox !== undefined && this.#now - heardAt < HEARD_TTL_MS;
  }

  #hear(neighbour: Neighbour<State, News>): void {
    const wasHeard = this.#isHeard(neighbour);
    neighbour.heardAt = this.#now;
    if (!wasHeard) this.#connected = undefined;
  }

  #mergeReport(report: Report<State>): void {
    if (report.host === this.#opts.self) {
      this.#outdate(report);
      return;
    }
    if (!this.#reports.merge(report)) return;
    this.#connected = undefined;
    this.#send((outbox) => outbox.addReport(report));
  }

  /** Makes the own report newer than one of an earlier process on this host. */
  #outdate({ version }: Report<State>): void {
    if (!this.#own || version <= this.#own.version) return;
    this.#setOwn({ ...this.#own, version: version + 1 });
  }

  #broadcast(news: News, from?: string): void {
    this.#send((outbox, host) => {
      if (host !== from) outbox.addNews(news);
    });
  }

  #send(add: (outbox: Outbox<State, News>, host: string) => void): void {
    for (const [host, { outbox }] of this.#neighbours) {
      if (outbox) add(outbox, host);
    }
    this.#scheduleFlush();
  }

  #scheduleFlush(): void {
    if (this.#isFlushScheduled) return;
    this.#isFlushScheduled = true;
    this.#opts.timer.after(FLUSH_DELAY_MS, () => {
      this.#isFlushScheduled = false;
      this.flush();
    });
  }

  #sendHeartbeats(): void {
    this.#excuseSilence();
    this.#dropGuests();
    this.#updateOwn();
    for (const [host, { outbox }] of this.#neighbours) {
      if (outbox) this.#opts.send(host, outbox.take());
    }
  }

  /** A process that did not run itself heard nobody; that is no silence. */
  #excuseSilence(): void {
    const pauseMs = this.#now - this.#heartbeatAt - HEARTBEAT_INTERVAL_MS;
    this.#heartbeatAt = this.#now;
    if (pauseMs < HEARTBEAT_INTERVAL_MS) return;
    for (const neighbour of this.#neighbours.values()) {
      neighbour.heardAt += pauseMs;
    }
  }

  #updateOwn(): void {
    if (!this.#own) return;
    const neighbours = [...this.#neighbours]
      .filter(([, it]) => this.#isHeard(it))
      .map(([host]) => host)
      .sort();
    const state = this.#opts.state();
    const isSameState = isDeepStrictEqual(state, this.#own.state);
    const isSameHeard = isDeepStrictEqual(neighbours, this.#own.neighbours);
    if (isSameState && isSameHeard) return;
    const before = this.#own.neighbours;
    const version = this.#own.version + 1;
    this.#setOwn({ host: this.#opts.self, version, neighbours, state });
    if (!isSameHeard) this.#notifyChanges(before, neighbours);
  }

  #notifyChanges(before: string[], after: string[]): void {
    const { onNeighbourChange } = this.#opts;
    for (const host of after) {
      if (!before.includes(host)) onNeighbourChange?.(host, true);
    }
    for (const host of before) {
      if (!after.includes(host)) onNeighbourChange?.(host, false);
    }
  }

  #setOwn(report: Report<State>): void {
    this.#own = report;
    this.#reports.merge(report);
    this.#connected = undefined;
    this.#send((outbox) => outbox.addReport(report));
  }

  #dropGuests(): void {
    for (const [host, { until }] of this.#guests) {
      if (this.#now < until) continue;
      this.#guests.delete(host);
      this.#connected = undefined;
    }
  }

  #findConnected(): Set<string> {
    const heard = [...this.#neighbours]
      .filter(([, it]) => this.#isHeard(it))
      .map(([host]) => host);
    return this.#reports.reachableFrom(
      [...heard, ...this.#guests.keys()],
      this.#opts.self,
    );
  }
}
