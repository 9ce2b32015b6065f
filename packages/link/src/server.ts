import type { Logger } from "@toucantrestle/log";
import { createServer, type Server } from "node:http";
import { type WebSocket, WebSocketServer } from "ws";
import type { LinkMessage, MethodTable, NoticeTable } from "./messages.ts";
import { decodeMessage, sendMessage } from "./socket.ts";

/** Logger, and handlers for the requests and notices of remote processes. */
export interface LinkServerOptions<
  M extends MethodTable,
  N extends NoticeTable,
> {
  log: Logger;
  methods: {
    [K in keyof M]: (
      args: M[K]["args"],
      from: string,
    ) => M[K]["result"] | Promise<M[K]["result"]>;
  };
  notices: { [K in keyof N]: (body: N[K], from: string) => void };
}

const MAX_MESSAGE_BYTES = 64_000_000;

/** Accepts links from other processes and handles their messages. */
export class LinkServer<M extends MethodTable, N extends NoticeTable> {
  readonly #opts: LinkServerOptions<M, N>;
  readonly #server: Server = createServer();
  readonly #sockets: WebSocketServer;

  constructor(opts: LinkServerOptions<M, N>) {
    this.#opts = opts;
    this.#sockets = new WebSocketServer({
      server: this.#server,
      maxPayload: MAX_MESSAGE_BYTES,
      perMessageDeflate: false,
    });
    this.#sockets.on("connection", (socket) => this.#accept(socket));
  }

  /** Starts listening on an `IP:PORT` address. */
  listen(address: string): Promise<void> {
    const url = new URL(`tcp://${address}`);
    return new Promise((resolve, reject) => {
      this.#server.once("error", reject);
      this.#server.listen(Number(url.port), url.hostname, resolve);
    });
  }

  close(): void {
    for (const socket of this.#sockets.clients) socket.terminate();
    this.#server.close();
  }

  #accept(socket: WebSocket): void {
    let from = "";
    socket.on("error", () => socket.terminate());
    socket.on("message", (data) => {
      const message = decodeMessage(data);
      if (!message) {
        this.#opts.log.warn(
          `closed the link from host "${from}": message is malformed`,
        );
        socket.terminate();
        return;
      }
      if (message.t === "hello") from = message.host;
      else this.#dispatch(socket, message, from);
    });
  }

  #dispatch(socket: WebSocket, message: LinkMessage, from: string): void {
    switch (message.t) {
      case "ping":
        return sendMessage(socket, { t: "pong" });
      case "notice":
        return this.#opts.notices[message.name]?.(
          message.body as N[string],
          from,
        );
      case "request":
        this.#handleRequest(socket, message, from);
        return;
      default:
        return;
    }
  }

  async #handleRequest(
    socket: WebSocket,
    message: Extract<LinkMessage, { t: "request" }>,
    from: string,
  ): Promise<void> {
    const { id, name } = message;
    try {
      const handler = this.#opts.methods[name];
      if (!handler) throw new Error(`request "${name}" is unknown`);
      const result = await handler(message.args as M[string]["args"], from);
      sendMessage(socket, { t: "result", id, result });
    } catch (err) {
      const text = err instanceof Error ? err.message : String(err);
      sendMessage(socket, { t: "failure", id, message: text });
    }
  }
}
