import { type HostRun, SILENCE_LIMIT_MS } from "@toucantrestle/membership";
import type { Subscription, Timer } from "@toucantrestle/timer";
import { UnavailableError, type Verdict } from "@toucantrestle/verdict";
import { createHash } from "node:crypto";
import { createServer, type Server } from "node:http";
import { createServer as createTlsServer } from "node:https";
import { WebSocket, WebSocketServer } from "ws";
import { IncomingSession } from "./incoming.ts";
import {
  type Heartbeat,
  type Hello,
  PROTOCOL_VERSION,
  type SiblingMessage,
} from "./messages.ts";
import { OutgoingSession } from "./outgoing.ts";
import type { PeerHandlers } from "./peer_handlers.ts";
import { Wire } from "./wire.ts";

/** Certificate and key of this daemon, and the authority of its siblings. */
export interface SiblingTls {
  cert: string;
  key: string;
  ca: string;
}

/** Settings of the links between daemons. */
export interface SiblingNetOptions {
  self: HostRun;
  key: string;
  timer: Timer;
  handlers: PeerHandlers;
  /** Makes the heartbeat's contents. */
  heartbeat: () => Omit<Heartbeat, "t">;
  /** Whether the link to a host is cut by a fault switch. */
  isCut: (host: string) => boolean;
  /** Whether a key hash is known for role `sibling`. */
  isSiblingKey: (keyHash: string) => boolean;
  tls: SiblingTls | undefined;
}

interface Link {
  address: string;
  wire: Wire | undefined;
  session: OutgoingSession | undefined;
  wanted: boolean;
  retryAt: number;
}

const HEARTBEAT_MS = 500;
const REDIAL_MS = 250;
const HANDSHAKE_TIMEOUT_MS = 1_000;
const MAX_MESSAGE_BYTES = 64_000_000;

/** Links to all siblings: one dialled by each side. */
export class SiblingNet {
  readonly #opts: SiblingNetOptions;
  readonly #server: Server;
  readonly #sockets: WebSocketServer;
  readonly #links = new Map<string, Link>();
  readonly #heardAt = new Map<string, number>();
  readonly #runsByAddress = new Map<string, HostRun>();
  #beat: Subscription | undefined;
  #bytesSent = 0;

  constructor(opts: SiblingNetOptions) {
    this.#opts = opts;
    this.#server = opts.tls
      ? createTlsServer({ ...opts.tls, requestCert: true }) as Server
      : createServer();
    this.#sockets = new WebSocketServer({
      server: this.#server,
      maxPayload: MAX_MESSAGE_BYTES,
    });
    this.#sockets.on("connection", (socket) => this.#accept(socket));
  }

  /** Starts to listen and to send heartbeats. */
  listen(): Promise<void> {
    const url = new URL(`tcp://${this.#opts.self.siblingAddress}`);
    this.#beat = this.#opts.timer.every(HEARTBEAT_MS, () => this.#onBeat());
    return new Promise((resolve, reject) => {
      this.#server.once("error", reject);
      this.#server.listen(Number(url.port), url.hostname, resolve);
    });
  }

  /** Sets the addresses to keep a link to. */
  setTargets(addresses: string[]): void {
    const wanted = new Set(addresses);
    wanted.delete(this.#opts.self.siblingAddress);
    for (const address of wanted) this.#want(address);
    for (const [address, link] of this.#links) {
      link.wanted = wanted.has(address);
      if (!link.wanted && !link.wire) this.#links.delete(address);
    }
  }

  /** The session with a run, if there is a link to it. */
  session(run: HostRun): OutgoingSession | undefined {
    const session = this.#links.get(run.siblingAddress)?.session;
    return session?.run.runId === run.runId ? session : undefined;
  }

  /**
   * The session with a run.
   *
   * @throws {UnavailableError} with verdict `not_run` when there is no link
   */
  requireSession(run: HostRun): OutgoingSession {
    const session = this.session(run);
    if (session) return session;
    this.#want(run.siblingAddress);
    const verdict: Verdict = "not_run";
    throw new UnavailableError(`there is no link to host ${run.host}`, {
      props: { verdict },
    });
  }

  /** Starts to make a link to a run. */
  want(run: HostRun): void {
    this.#want(run.siblingAddress);
  }

  /** All sessions. */
  sessions(): OutgoingSession[] {
    return [...this.#links.values()]
      .map((link) => link.session)
      .filter((it) => it !== undefined);
  }

  /** Sends a message to a run, if there is a link to it. */
  send(run: HostRun, message: SiblingMessage): void {
    this.session(run)?.send(message);
  }

  /** Milliseconds since a run was heard, or undefined if it never was. */
  silentMs(runId: string): number | undefined {
    const at = this.#heardAt.get(runId);
    return at === undefined ? undefined : this.#opts.timer.now() - at;
  }

  /** Bytes of messages sent to siblings since the start. */
  get bytesSent(): number {
    return this.#bytesSent;
  }

  /** Closes all links and the server. */
  async close(): Promise<void> {
    this.#beat?.cancel();
    for (const link of this.#links.values()) {
      link.wanted = false;
      link.wire?.close();
    }
    for (const socket of this.#sockets.clients) socket.terminate();
    await new Promise((resolve) => this.#server.close(resolve));
  }

  #onBeat(): void {
    const message = this.#heartbeat();
    const now = this.#opts.timer.now();
    for (const link of this.#links.values()) {
      if (link.session) this.#beatLink(link, message);
      else if (link.wanted && !link.wire && now >= link.retryAt) {
        this.#dial(link);
      }
    }
  }

  #beatLink(link: Link, message: Heartbeat): void {
    const { run } = link.session as OutgoingSession;
    link.session?.send(message);
    const silentMs = this.silentMs(run.runId) ?? 0;
    if (silentMs > SILENCE_LIMIT_MS) link.wire?.close();
  }

  #heartbeat(): Heartbeat {
    return { t: "heartbeat", ...this.#opts.heartbeat() };
  }

  #want(address: string): void {
    let link = this.#links.get(address);
    if (!link) {
      link = {
        address,
        wire: undefined,
        session: undefined,
        wanted: true,
        retryAt: 0,
      };
      this.#links.set(address, link);
      this.#dial(link);
    }
    link.wanted = true;
  }

  #dial(link: Link): void {
    const { tls } = this.#opts;
    const known = this.#runsByAddress.get(link.address);
    if (known && this.#opts.isCut(known.host)) return;
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
    const wire = new Wire({
      socket,
      isCut,
      onMessage: (message) => this.#onOutgoing(link, wire, message),
      onSent: (bytes) => this.#countSent(bytes),
      onClose: () => this.#onClosed(link, wire),
    });
    link.wire = wire;
    socket.on("open", () => wire.send(this.#hello(this.#opts.key)));
  }

  #onOutgoing(link: Link, wire: Wire, message: SiblingMessage): void {
    if (message.t === "hello") {
      if (message.version !== PROTOCOL_VERSION) return wire.close();
      this.#openSession(link, wire, message);
      return;
    }
    if (!link.session) return;
    const { run } = link.session;
    this.#heard(run);
    if (message.t === "heartbeat") {
      this.#opts.handlers.onHeartbeat(run, message);
    } else link.session.receive(message);
  }

  #openSession(link: Link, wire: Wire, hello: Hello): void {
    const { run } = hello;
    if (run.runId === this.#opts.self.runId) return wire.close();
    this.#runsByAddress.set(link.address, run);
    link.session = new OutgoingSession({
      wire,
      run,
      timer: this.#opts.timer,
      onAppendAcks: (acks) => this.#opts.handlers.onAppendAcks(run, acks),
    });
    this.#heard(run);
    this.#opts.handlers.onLinked(run);
  }

  #onClosed(link: Link, wire: Wire): void {
    if (link.wire !== wire) return;
    const { session } = link;
    link.wire = undefined;
    link.session = undefined;
    link.retryAt = this.#opts.timer.now() + REDIAL_MS;
    session?.lost();
  }

  #accept(socket: WebSocket): void {
    let session: IncomingSession | undefined;
    let from: HostRun | undefined;
    const wire = new Wire({
      socket,
      isCut: () => from !== undefined && this.#opts.isCut(from.host),
      onSent: (bytes) => this.#countSent(bytes),
      onMessage: (message) => {
        if (session && from) {
          this.#heard(from);
          session.receive(message);
          const needsAnswer = message.t === "heartbeat" && !this.session(from);
          if (needsAnswer) wire.send(this.#heartbeat());
          return;
        }
        if (message.t !== "hello" || !this.#isWelcome(message)) {
          wire.close();
          return;
        }
        from = message.run;
        const { handlers } = this.#opts;
        session = new IncomingSession({ wire, from, handlers });
        wire.send(this.#hello(""));
      },
      onClose: () => {},
    });
  }

  #isWelcome(hello: Hello): boolean {
    if (hello.version !== PROTOCOL_VERSION) return false;
    const given = hashKey(hello.key);
    return given === hashKey(this.#opts.key) || this.#opts.isSiblingKey(given);
  }

  #hello(key: string): Hello {
    const { self } = this.#opts;
    return { t: "hello", version: PROTOCOL_VERSION, run: self, key };
  }

  #countSent(bytes: number): void {
    this.#bytesSent += bytes;
  }

  #heard(run: HostRun): void {
    this.#heardAt.set(run.runId, this.#opts.timer.now());
  }
}

/** Hash under which a key is kept. */
export function hashKey(key: string): string {
  return createHash("sha256").update(key).digest("hex");
}
