import { createManualTimer, type ManualTimer } from "@toucantrestle/timer";
import { chooseNeighbours, Gossip, Rings } from "../src/mod.ts";
import type { GossipMessage } from "../src/mod.ts";

/** State that the hosts of the model report. */
export interface ModelState {
  isReady: boolean;
}

type Message = GossipMessage<ModelState, string>;

interface ModelHost {
  gossip: Gossip<ModelState, string>;
  seen: Map<string, number>;
  state: ModelState;
  isRunning: boolean;
  isFrozen: boolean;
  neighbours: ReadonlySet<string>;
  links: Set<string>;
}

/** One way over the network. */
const LATENCY_MS = 1;
/** A link to a host that answers nothing is closed after this time. */
const SILENT_LINK_MS = 2_100;
const RECONCILE_INTERVAL_MS = 500;
const DATA_CENTRES = 6;

/** Hosts with gossip over a network without I/O, on one manual timer. */
export class ModelFleet {
  readonly timer: ManualTimer = createManualTimer(1_000_000);
  readonly #hosts = new Map<string, ModelHost>();
  /** Rings as the hosts of a data centre see them. */
  readonly #rings = new Map<string, Rings>();
  /** Messages that carry reports or news, by receiver. */
  readonly #received = new Map<string, number>();
  messageCount = 0;
  byteCount = 0;
  /** Whether two hosts can reach each other. */
  canReach: (a: string, b: string) => boolean = () => true;

  constructor(count: number) {
    for (let i = 0; i < count; i++) this.start(`host-${i}`);
    this.timer.every(RECONCILE_INTERVAL_MS, () => this.#reconcileAll());
    this.#reconcileAll();
  }

  get names(): string[] {
    return [...this.#hosts.keys()];
  }

  /** Starts a host, or a new process on a host that was stopped. */
  start(name: string): void {
    if (this.#hosts.has(name)) this.stop(name);
    const seen = new Map<string, number>();
    const state = { isReady: true };
    const gossip = new Gossip<ModelState, string>({
      self: name,
      timer: this.#timerOf(name),
      state: () => ({ ...state }),
      send: (to, message) => this.#send(name, to, message),
      applyNews: (news) => {
        if (seen.has(news)) return false;
        seen.set(news, this.timer.monotonicNow());
        return true;
      },
      recentNews: () => [...seen.keys()],
    });
    const host: ModelHost = {
      gossip,
      seen,
      state,
      isRunning: true,
      isFrozen: false,
      neighbours: new Set(),
      links: new Set(),
    };
    this.#hosts.set(name, host);
    gossip.start();
  }

  stop(name: string): void {
    const stopped = this.#host(name);
    stopped.isRunning = false;
    for (const [other, host] of this.#hosts) {
      if (host.links.delete(name)) this.#closeLink(other, name);
    }
  }

  freeze(name: string, forMs: number): void {
    const host = this.#host(name);
    host.isFrozen = true;
    this.timer.after(forMs, () => host.isFrozen = false);
  }

  setReady(name: string, isReady: boolean): void {
    this.#host(name).state.isReady = isReady;
    this.#host(name).gossip.refresh();
  }

  publish(name: string, news: string): void {
    this.#host(name).seen.set(news, this.timer.monotonicNow());
    this.#host(name).gossip.publish(news);
  }

  /** Returns when each running host has learned the news. */
  learnedAt(news: string): (number | undefined)[] {
    return this.#running().map((it) => it.seen.get(news));
  }

  /** Most messages with content that one host has received. */
  mostReceived(): number {
    return Math.max(0, ...this.#received.values());
  }

  resetCounts(): void {
    this.#received.clear();
    this.messageCount = 0;
    this.byteCount = 0;
  }

  connected(name: string): ReadonlySet<string> {
    return this.#host(name).gossip.connectedHosts;
  }

  isReady(at: string, name: string): boolean | undefined {
    return this.#host(at).gossip.stateOf(name)?.isReady;
  }

  linkCount(name: string): number {
    return this.#host(name).neighbours.size;
  }

  neighbours(name: string): ReadonlySet<string> {
    return this.#host(name).neighbours;
  }

  #running(): ModelHost[] {
    return [...this.#hosts.values()].filter((it) => it.isRunning);
  }

  #host(name: string): ModelHost {
    const host = this.#hosts.get(name);
    if (!host) throw new Error(`no host ${name}`);
    return host;
  }

  /** A timer whose callbacks do not run while the host is frozen or stopped. */
  #timerOf(name: string): ManualTimer {
    const process = { current: undefined as ModelHost | undefined };
    const isRunning = () => {
      process.current ??= this.#hosts.get(name);
      return process.current?.isRunning && !process.current.isFrozen;
    };
    return {
      ...this.timer,
      now: () => this.timer.now(),
      monotonicNow: () => this.timer.monotonicNow(),
      after: (ms, fn) => this.timer.after(ms, () => isRunning() && fn()),
      every: (ms, fn) => this.timer.every(ms, () => isRunning() && fn()),
    };
  }

  #send(from: string, to: string, message: Message): void {
    if (!this.#host(from).links.has(to)) return;
    this.messageCount += 1;
    this.byteCount += JSON.stringify(message).length;
    this.timer.after(LATENCY_MS, () => this.#deliver(from, to, message));
  }

  #deliver(from: string, to: string, message: Message): void {
    const receiver = this.#host(to);
    if (!receiver.isRunning || !this.canReach(from, to)) return;
    if (receiver.isFrozen) {
      // The kernel keeps what arrives until the process runs again.
      this.timer.after(LATENCY_MS * 10, () => this.#deliver(from, to, message));
      return;
    }
    if (message.reports.length + message.news.length > 0) {
      this.#received.set(to, (this.#received.get(to) ?? 0) + 1);
    }
    receiver.gossip.receive(from, message);
  }

  #reconcileAll(): void {
    for (const [name, host] of this.#hosts) {
      if (host.isRunning && !host.isFrozen) this.#reconcile(name, host);
    }
  }

  #reconcile(name: string, host: ModelHost): void {
    host.neighbours = chooseNeighbours({
      self: name,
      hosts: this.names,
      rings: this.#ringsOf(name),
      isSilent: (it) => host.gossip.isSilent(it),
    });
    host.gossip.setNeighbours(host.neighbours);
    for (const other of host.neighbours) this.#updateLink(name, other);
  }

  #ringsOf(name: string): Rings {
    const known = this.#rings.get(dataCentreOf(name));
    if (known) return known;
    const all = this.names.map((host) => ({
      host,
      dataCentre: dataCentreOf(host),
    }));
    const rings = new Rings(
      { host: name, dataCentre: dataCentreOf(name) },
      all,
    );
    this.#rings.set(dataCentreOf(name), rings);
    return rings;
  }

  #updateLink(name: string, other: string): void {
    const { links } = this.#host(name);
    const { isRunning, isFrozen } = this.#host(other);
    const isReachable = isRunning && this.canReach(name, other);
    if (links.has(other) && !isReachable) {
      this.timer.after(SILENT_LINK_MS, () => {
        const isSameProcess = this.#host(name).links === links;
        if (isSameProcess && links.delete(other)) this.#closeLink(name, other);
      });
    }
    if (links.has(other) || !isReachable || isFrozen) return;
    links.add(other);
    this.#host(name).gossip.openLink(other);
  }

  #closeLink(name: string, other: string): void {
    const host = this.#host(name);
    if (host.isRunning) host.gossip.closeLink(other);
  }
}

/** Data centre of a host of the model. */
export function dataCentreOf(name: string): string {
  return `dc-${Number(name.slice("host-".length)) % DATA_CENTRES}`;
}
