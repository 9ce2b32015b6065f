import { type ListenOptions, listenWhenFree } from "@toucantrestle/lifecycle";
import { Listeners, type Logger } from "@toucantrestle/log";
import type { MemoryHolders } from "@toucantrestle/memory";
import type { Timer } from "@toucantrestle/timer";
import { createServer, type Server } from "node:http";
import type { Socket } from "node:net";
import { type WebSocket, WebSocketServer } from "ws";
import { decodeMessage, DEFAULT_LIMITS } from "./decode_message.ts";
import { LinkSocket, RECEIVER_LIMITS } from "./link_socket.ts";
import type {
  LinkMessage,
  MethodTable,
  NoticeTable,
  StreamTable,
} from "./messages.ts";

/** The remote side of a stream, which opened it. */
export interface StreamReceiver<Part> {
  send(part: Part): void;
  /** Ends the stream; nothing may be sent after it. */
  end(): void;
  /** Bytes that are buffered for the link, over all its streams. */
  readonly bufferedBytes: number;
}

/** Callbacks of a stream that a remote process has opened. */
export interface StreamServerHandlers<Control> {
  onControl(control: Control): void;
  /** The link was lost before the end of the stream. */
  onLost(): void;
}

type StreamServers<S extends StreamTable> = {
  [K in keyof S]: (
    args: S[K]["args"],
    receiver: StreamReceiver<S[K]["part"]>,
  ) => StreamServerHandlers<S[K]["control"]>;
};

/** Logger, and handlers for the requests and notices of remote processes. */
export interface LinkServerOptions<
  M extends MethodTable,
  N extends NoticeTable,
  S extends StreamTable = Record<never, never>,
> {
  log: Logger;
  methods: {
    [K in keyof M]: (
      args: M[K]["args"],
      from: string,
    ) => M[K]["result"] | Promise<M[K]["result"]>;
  };
  /** What takes time returns a promise, and counts as a request until then. */
  notices: { [K in keyof N]: (body: N[K], from: string) => void };
  streams?: StreamServers<S>;
  /** What keeps memory for peers. */
  holders?: MemoryHolders;
}

/** Most streams that one remote process has open. */
const MAX_STREAMS = 10_000;

/** A stream that a remote process has open. */
interface OpenStream {
  handlers: StreamServerHandlers<unknown>;
  /** Takes the stream off what is in progress. */
  endWork: () => void;
}

/** Streams that the remote process has open, by its id for them. */
type OpenStreams = Map<number, OpenStream>;

/** An accepted connection. */
interface Connection {
  socket: LinkSocket;
  streams: OpenStreams;
  /** Host that dialled; empty before its hello. */
  from: string;
}

interface AcceptOptions {
  /** Connection below. */
  transport: Socket;
  timer: Timer;
}

/** Accepts links from other processes and handles their messages. */
export class LinkServer<
  M extends MethodTable,
  N extends NoticeTable,
  S extends StreamTable = Record<never, never>,
> {
  readonly #opts: LinkServerOptions<M, N, S>;
  readonly #server: Server = createServer();
  readonly #sockets: WebSocketServer;
  /** One for each request that is handled, and each open stream. */
  readonly #work = new Set<symbol>();

  constructor(opts: LinkServerOptions<M, N, S>) {
    this.#opts = opts;
    this.#sockets = new WebSocketServer({
      server: this.#server,
      maxPayload: DEFAULT_LIMITS.maxBytes,
      ...RECEIVER_LIMITS,
      perMessageDeflate: false,
    });
    // It passes on the errors of the HTTP server, which are handled there.
    this.#sockets.on("error", () => {});
  }

  /**
   * Number of requests whose result is not sent yet, and of streams whose end
   * is not.
   */
  get inProgressCount(): number {
    return this.#work.size;
  }

  /**
   * Starts listening on an `IP:PORT` address as soon as it is free.
   *
   * @throws {ExitError} if it stays in use
   * @throws {StoppedWaitingError} if the process stops meanwhile
   */
  listen(address: string, opts: Omit<ListenOptions, "log">): Promise<void> {
    const { log } = this.#opts;
    const { timer } = opts;
    this.#sockets.on("connection", (socket, { socket: transport }) => {
      this.#accept(socket, { transport, timer });
    });
    return listenWhenFree(this.#server, address, { ...opts, log });
  }

  /** Ends all connections, those without a finished handshake as well. */
  close(): void {
    for (const socket of this.#sockets.clients) socket.terminate();
    this.#server.close();
    this.#server.closeAllConnections();
  }

  #accept(socket: WebSocket, { transport, timer }: AcceptOptions): void {
    const { holders } = this.#opts;
    const connection: Connection = {
      socket: new LinkSocket(socket, { holders, timer }),
      streams: new Map(),
      from: "",
    };
    connection.socket.onOpen(transport);
    socket.on("close", () => this.#loseStreams(connection));
    socket.on("error", () => socket.terminate());
    socket.on("message", (data) => {
      connection.socket.onMessage();
      this.#receive(connection, data as Uint8Array);
      connection.socket.holdBackIfBehind();
    });
  }

  #loseStreams({ streams }: Connection): void {
    const lost = new Listeners("lost links", this.#opts.log);
    for (const { handlers, endWork } of streams.values()) {
      endWork();
      lost.add(() => handlers.onLost());
    }
    streams.clear();
    lost.notify();
  }

  #receive(connection: Connection, bytes: Uint8Array): void {
    const message = decodeMessage(bytes);
    if (!message) {
      const from = JSON.stringify(connection.from);
      this.#opts.log.warn(
        `closed the link from host ${from}: message is malformed`,
      );
      connection.socket.terminate();
      return;
    }
    if (message.t === "hello") connection.from = String(message.host);
    else this.#handle(connection, message, bytes.length);
  }

  /**
   * Handles a message; what goes wrong concerns its sender alone. A notice may
   * be lost, while the streams of a link must not go on with a gap.
   */
  #handle(
    connection: Connection,
    message: LinkMessage,
    bytes: number,
  ): void {
    try {
      this.#dispatch(connection, message, bytes);
    } catch (err) {
      this.#logFailure(connection, message, err);
      if (message.t !== "notice") connection.socket.terminate();
    }
  }

  #logFailure({ from }: Connection, { t }: LinkMessage, err: unknown): void {
    const reason = err instanceof Error ? err.stack : String(err);
    this.#opts.log.error(
      `cannot handle a ${t} of host ${JSON.stringify(from)}: ${reason}`,
    );
  }

  #handleNotice(
    connection: Connection,
    message: Extract<LinkMessage, { t: "notice" }>,
    bytes: number,
  ): void {
    const handler = ownEntry(this.#opts.notices, message.name);
    const work: unknown = handler?.(
      message.body as N[string],
      connection.from,
    );
    if (!(work instanceof Promise)) return;
    const endRequest = connection.socket.beginRequest(bytes);
    work
      .catch((err) => this.#logFailure(connection, message, err))
      .then(endRequest);
  }

  #dispatch(
    connection: Connection,
    message: LinkMessage,
    bytes: number,
  ): void {
    const { socket, streams } = connection;
    switch (message.t) {
      case "ping":
        socket.send({ t: "pong" });
        return;
      case "notice":
        return this.#handleNotice(connection, message, bytes);
      case "request":
        this.#handleRequest(connection, message, bytes);
        return;
      case "open":
        return this.#openStream(connection, message);
      case "control":
        return streams.get(message.id)?.handlers.onControl(message.body);
      default:
        return;
    }
  }

  #openStream(
    { socket, streams }: Connection,
    { id, name, args }: Extract<LinkMessage, { t: "open" }>,
  ): void {
    const serve = this.#opts.streams && ownEntry(this.#opts.streams, name);
    if (!serve) {
      this.#opts.log.warn(`stream "${name}" is unknown`);
      socket.send({ t: "end", id });
      return;
    }
    if (streams.size >= MAX_STREAMS) {
      socket.send({ t: "end", id });
      return;
    }
    const endWork = this.#beginWork();
    let isEnded = false;
    const receiver: StreamReceiver<S[string]["part"]> = {
      send: (body) => {
        if (!isEnded) socket.send({ t: "part", id, body });
      },
      end: () => {
        isEnded = true;
        streams.delete(id);
        socket.send({ t: "end", id }, endWork);
      },
      get bufferedBytes() {
        return socket.bufferedBytes;
      },
    };
    try {
      const handlers = serve(args as S[string]["args"], receiver);
      if (!isEnded) streams.set(id, { handlers, endWork });
    } catch (err) {
      endWork();
      throw err;
    }
  }

  /** Counts a request or a stream as in progress until the result is called. */
  #beginWork(): () => void {
    const work = Symbol();
    this.#work.add(work);
    return () => this.#work.delete(work);
  }

  async #handleRequest(
    { socket, from }: Connection,
    message: Extract<LinkMessage, { t: "request" }>,
    bytes: number,
  ): Promise<void> {
    const { id, name } = message;
    const endWork = this.#beginWork();
    const endRequest = socket.beginRequest(bytes);
    try {
      const handler = ownEntry(this.#opts.methods, name);
      if (!handler) throw new Error(`request "${name}" is unknown`);
      const result = await handler(message.args as M[string]["args"], from);
      socket.send({ t: "result", id, result }, endWork);
    } catch (err) {
      const text = err instanceof Error ? err.message : String(err);
      socket.send({ t: "failure", id, message: text }, endWork);
    } finally {
      endRequest();
    }
  }
}

/** Returns the entry of a name that a message gives; not one of all objects. */
function ownEntry<T extends object>(
  table: T,
  name: string,
): T[keyof T] | undefined {
  return Object.hasOwn(table, name) ? table[name as keyof T] : undefined;
}
