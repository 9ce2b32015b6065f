import { isLinkAddress } from "@toucantrestle/link";
import { listenWhenFree } from "@toucantrestle/lifecycle";
import { type HostRun, SILENCE_LIMIT_MS } from "@toucantrestle/membership";
import { setNewest } from "@toucantrestle/policy";
import { sleep, type Subscription } from "@toucantrestle/timer";
import { UnavailableError, type Verdict } from "@toucantrestle/verdict";
import { createHash } from "node:crypto";
import { createServer, type Server } from "node:http";
import { createServer as createTlsServer } from "node:https";
import type { Socket } from "node:net";
import { WebSocket, WebSocketServer } from "ws";
import { awaitHello } from "./hello_wait.ts";
import { IncomingSession } from "./incoming.ts";
import {
  type Heartbeat,
  type Hello,
  PROTOCOL_VERSION,
  type SiblingMessage,
} from "./messages.ts";
import { OutgoingSession } from "./outgoing.ts";
import { SiblingChannel } from "./sibling_channel.ts";
import type { SiblingNetOptions } from "./sibling_net_options.ts";

interface Link {
  address: string;
  channel: SiblingChannel | undefined;
  session: OutgoingSession | undefined;
  isWanted: boolean;
  /** When the channel was dialled. */
  dialledAt: number;
  retryAt: number;
}

const HEARTBEAT_INTERVAL_MS = 500;
const REDIAL_DELAY_MS = 250;
const HANDSHAKE_TIMEOUT_MS = 1_000;
/** Time from dialling to the hello of the other side. */
const HELLO_TIMEOUT_MS = 2_000;
const MAX_MESSAGE_BYTES = 64_000_000;
/** Most runs of siblings whose last message is known. */
const MAX_HEARD_RUNS = 1_000;
const MAX_LOGGED_ADDRESS_LENGTH = 100;
const DRAIN_POLL_INTERVAL_MS = 20;

/**
 * Links to siblings. Each pair of daemons has up to two links, one dialled by
 * each side, which carries the requests of that side.
 */
export class SiblingNet {
  readonly #opts: SiblingNetOptions;
  readonly #server: Server;
  readonly #sockets: WebSocketServer;
  readonly #links = new Map<string, Link>();
  /** Sessions on links that siblings have dialled. */
  readonly #incoming = new Set<IncomingSession>();
  /** By run id, in the order of the times. */
  readonly #lastReceivedAt = new Map<string, number>();
  readonly #runsByAddress = new Map<string, HostRun>();
  #heartbeatTimer: Subscription | undefined;
  #bytesSent = 0;
  #isClosed = false;

  constructor(opts: SiblingNetOptions) {
    this.#opts = opts;
    this.#server = opts.tls
      ? createTlsServer({ ...opts.tls, requestCert: true }) as Server
      : createServer();
    this.#sockets = new WebSocketServer({
      server: this.#server,
      maxPayload: MAX_MESSAGE_BYTES,
    });
    // It passes on the errors of the HTTP server, which are handled there.
    this.#sockets.on("error", () => {});
    this.#sockets.on("connection", (socket, req) => {
      this.#accept(socket, req.socket);
    });
  }

  /**
   * Starts listening for siblings, as soon as the address is free, and sending
   * heartbeats.
   *
   * @throws {ExitError} if the address stays in use
   * @throws {StoppedWaitingError} if the process stops meanwhile
   */
  listen(isStopping: () => boolean = () => false): Promise<void> {
    const { self, timer, log } = this.#opts;
    this.#heartbeatTimer = this.#opts.timer.every(
      HEARTBEAT_INTERVAL_MS,
      () => this.#onHeartbeatTick(),
    );
    return listenWhenFree(this.#server, self.siblingAddress, {
      timer,
      log,
      isStopping,
    });
  }

  /** Sets the sibling addresses to keep a link open to. */
  setTargets(addresses: string[]): void {
    const targets = new Set(addresses);
    targets.delete(this.#opts.self.siblingAddress);
    for (const address of targets) this.#ensureLink(address);
    for (const [address, link] of this.#links) {
      link.isWanted = targets.has(address);
      if (!link.isWanted && !link.channel) this.#links.delete(address);
    }
  }

  /** Returns the session with a run, or undefined if there is no link. */
  session(run: HostRun): OutgoingSession | undefined {
    const session = this.#links.get(run.siblingAddress)?.session;
    return session?.run.runId === run.runId ? session : undefined;
  }

  /**
   * Returns the session with a run. Without a link, starts to dial one.
   *
   * @throws {UnavailableError} with verdict `not_run` if there is no link
   */
  requireSession(run: HostRun): OutgoingSession {
    const session = this.session(run);
    if (session) return session;
    this.#ensureLink(run.siblingAddress);
    const verdict: Verdict = "not_run";
    throw new UnavailableError(`there is no link to host ${run.host}`, {
      props: { verdict },
    });
  }

  /** Dials a run unless there is a link to it, and keeps the link open. */
  ensureLink(run: HostRun): void {
    this.#ensureLink(run.siblingAddress);
  }

  /** Returns the sessions of all open links. */
  sessions(): OutgoingSession[] {
    return [...this.#links.values()]
      .map((link) => link.session)
      .filter((it) => it !== undefined);
  }

  /** Sends a message to a run, or drops it if there is no link. */
  send(run: HostRun, message: SiblingMessage): void {
    this.session(run)?.send(message);
  }

  /**
   * Returns the milliseconds since a message was last received from a run, or
   * undefined if none ever was.
   */
  silentMs(runId: string): number | undefined {
    const receivedAt = this.#lastReceivedAt.get(runId);
    return receivedAt === undefined
      ? undefined
      : this.#opts.timer.now() - receivedAt;
  }

  /** Total size of messages sent to siblings since the start, in bytes. */
  get bytesSent(): number {
    return this.#bytesSent;
  }

  /**
   * Waits until all requests of siblings have been handled and their responses
   * sent, for `timeoutMs` at most.
   */
  async drain(timeoutMs: number): Promise<void> {
    const { timer } = this.#opts;
    const deadline = timer.monotonicNow() + timeoutMs;
    const isBusy = () => [...this.#incoming].some((it) => it.isBusy);
    while (isBusy() && timer.monotonicNow() < deadline) {
      await sleep(timer, DRAIN_POLL_INTERVAL_MS);
    }
  }

  /** Closes all links and the server; no link is dialled any more. */
  async close(): Promise<void> {
    this.#isClosed = true;
    this.#heartbeatTimer?.cancel();
    for (const link of this.#links.values()) {
      link.isWanted = false;
      link.channel?.close();
    }
    for (const socket of this.#sockets.clients) socket.terminate();
    const closed = new Promise((resolve) => this.#server.close(resolve));
    this.#server.closeAllConnections();
    await closed;
  }

  #onHeartbeatTick(): void {
    const message = this.#createHeartbeat();
    const now = this.#opts.timer.now();
    for (const link of this.#links.values()) {
      if (link.session) this.#sendHeartbeat(link, message);
      else if (link.channel) this.#checkHello(link, now);
      else if (link.isWanted && now >= link.retryAt) this.#dial(link);
    }
  }

  /** Closes a link whose other side does not send its hello in time. */
  #checkHello(link: Link, now: number): void {
    if (now - link.dialledAt < HELLO_TIMEOUT_MS) return;
    this.#opts.log.warn(
      `no hello from ${link.address} within ${HELLO_TIMEOUT_MS} ms, closing the link`,
    );
    link.channel?.close();
  }

  #sendHeartbeat(link: Link, message: Heartbeat): void {
    const { run } = link.session as OutgoingSession;
    link.session?.send(message);
    const silentMs = this.silentMs(run.runId) ?? 0;
    if (silentMs > SILENCE_LIMIT_MS) link.channel?.close();
  }

  #createHeartbeat(): Heartbeat {
    return { t: "heartbeat", ...this.#opts.heartbeat() };
  }

  #ensureLink(address: string): void {
    let link = this.#links.get(address);
    if (!link) {
      link = {
        address,
        channel: undefined,
        session: undefined,
        isWanted: true,
        dialledAt: 0,
        retryAt: 0,
      };
      this.#links.set(address, link);
      this.#dial(link);
    }
    link.isWanted = true;
  }

  #dial(link: Link): void {
    if (this.#isClosed) return;
    const { tls } = this.#opts;
    if (!isLinkAddress(link.address)) return this.#rejectAddress(link);
    const knownRun = this.#runsByAddress.get(link.address);
    if (knownRun && this.#opts.isCut(knownRun.host)) return;
    const scheme = tls ? "wss" : "ws";
    const socket = new WebSocket(`${scheme}://${link.address}`, {
      handshakeTimeout: HANDSHAKE_TIMEOUT_MS,
      maxPayload: MAX_MESSAGE_BYTES,
      perMessageDeflate: false,
      ...(tls ?? {}),
    });
    const isCut = () => {
      const run = link.session?.run;
      return run !== undefined && this.#opts.isCut(run.host);
    };
    const channel = new SiblingChannel({
      socket,
      isCut,
      onMessage: (message) => this.#onMessage(link, channel, message),
      onUnusable: (reason) => this.#logUnusable(link.address, reason),
      onSent: (bytes) => this.#countSent(bytes),
      onClose: () => this.#onClosed(link, channel),
      holders: this.#opts.holders,
    });
    link.channel = channel;
    link.dialledAt = this.#opts.timer.now();
    socket.on("open", () => channel.send(this.#createHello(this.#opts.key)));
  }

  /** Logs once that an address cannot be dialled. */
  #rejectAddress(link: Link): void {
    const { address } = link;
    link.retryAt = Infinity;
    const shown = JSON.stringify(address.slice(0, MAX_LOGGED_ADDRESS_LENGTH));
    this.#opts.log.warn(`link address ${shown} is invalid; not dialled`);
  }

  #onMessage(
    link: Link,
    channel: SiblingChannel,
    message: SiblingMessage,
  ): void {
    if (message.t === "hello") {
      if (message.version !== PROTOCOL_VERSION) return channel.close();
      this.#openSession(link, channel, message);
      return;
    }
    if (!link.session) return;
    const { run } = link.session;
    this.#recordReceived(run);
    if (message.t === "heartbeat") {
      this.#opts.handlers.onHeartbeat(run, message);
    } else link.session.receive(message);
  }

  #openSession(link: Link, channel: SiblingChannel, hello: Hello): void {
    const { run } = hello;
    if (run.runId === this.#opts.self.runId) return channel.close();
    setNewest(this.#runsByAddress, [link.address, run], MAX_HEARD_RUNS);
    link.session = new OutgoingSession({
      channel,
      run,
      timer: this.#opts.timer,
      onAppendAcks: (acks) => this.#opts.handlers.onAppendAcks(run, acks),
    });
    this.#recordReceived(run);
    this.#opts.handlers.onLinked(run);
  }

  #onClosed(link: Link, channel: SiblingChannel): void {
    if (link.channel !== channel) return;
    const { session } = link;
    link.channel = undefined;
    link.session = undefined;
    link.retryAt = this.#opts.timer.now() + REDIAL_DELAY_MS;
    session?.failPending();
  }

  #accept(socket: WebSocket, connection: Socket): void {
    let session: IncomingSession | undefined;
    const stopWaiting = awaitHello({
      socket,
      connection,
      timeoutMs: HELLO_TIMEOUT_MS,
      timer: this.#opts.timer,
    });
    let from: HostRun | undefined;
    const channel = new SiblingChannel({
      socket,
      isCut: () => from !== undefined && this.#opts.isCut(from.host),
      onSent: (bytes) => this.#countSent(bytes),
      onUnusable: (reason) =>
        this.#logUnusable(from?.host ?? "an unknown host", reason),
      onMessage: (message) => {
        if (session && from) {
          this.#recordReceived(from);
          session.receive(message);
          const isReplyNeeded = message.t === "heartbeat" &&
            !this.session(from);
          if (isReplyNeeded) channel.send(this.#createHeartbeat());
          return;
        }
        if (message.t !== "hello" || !this.#isAcceptable(message)) {
          channel.close();
          return;
        }
        stopWaiting();
        from = message.run;
        const { handlers } = this.#opts;
        session = new IncomingSession({ channel, from, handlers });
        this.#incoming.add(session);
        channel.send(this.#createHello(""));
      },
      onClose: () => {
        stopWaiting();
        if (session) this.#incoming.delete(session);
      },
      holders: this.#opts.holders,
    });
  }

  #isAcceptable(hello: Hello): boolean {
    if (hello.version !== PROTOCOL_VERSION) return false;
    const keyHash = hashKey(hello.key);
    return keyHash === hashKey(this.#opts.key) ||
      this.#opts.isSiblingKey(keyHash);
  }

  #createHello(key: string): Hello {
    const { self } = this.#opts;
    return { t: "hello", version: PROTOCOL_VERSION, run: self, key };
  }

  #logUnusable(sender: string, reason: string): void {
    this.#opts.log.warn(`closing the link to ${sender}: ${reason}`);
  }

  #countSent(bytes: number): void {
    this.#bytesSent += bytes;
  }

  #recordReceived(run: HostRun): void {
    const now = this.#opts.timer.now();
    setNewest(this.#lastReceivedAt, [run.runId, now], MAX_HEARD_RUNS);
  }
}

/** Returns the hash under which a key is stored. */
export function hashKey(key: string): string {
  return createHash("sha256").update(key).digest("hex");
}
