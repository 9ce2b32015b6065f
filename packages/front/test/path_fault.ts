import { dialTcp } from "@toucantrestle/upstream_channel";
import { connect, Socket } from "node:net";

/** What a cut does to connections: to open ones and to new ones. */
export type CutKind =
  | "hang"
  | "reset"
  | "refuse_new"
  | "silence_open"
  /** Open connections stand still and go on later, new ones hang. */
  | "freeze";

/** Port on which nothing listens. */
const CLOSED_PORT = 1;

/** Way from one front to all upstreams, which a test can cut. */
export class PathFault {
  readonly #sockets = new Set<Socket>();
  /** Let frozen connections go on. */
  #thaws: (() => void)[] = [];
  #cut: CutKind | undefined;
  /** Connections that were asked for. */
  dialCount = 0;

  /** Opens a connection as the present state of the way allows. */
  readonly dial = (address: string): Socket => {
    this.dialCount += 1;
    const hangs = this.#cut === "hang" || this.#cut === "freeze";
    if (hangs) return new Socket();
    const allowsNew = this.#cut === undefined || this.#cut === "silence_open";
    if (!allowsNew) return connect(CLOSED_PORT, "127.0.0.1");
    const socket = dialTcp(address);
    this.#sockets.add(socket);
    socket.on("close", () => this.#sockets.delete(socket));
    return socket;
  };

  cut(kind: CutKind): void {
    this.#cut = kind;
    for (const socket of this.#sockets) {
      const thaw = CUTTERS[kind](socket);
      if (thaw) this.#thaws.push(thaw);
    }
  }

  heal(): void {
    this.#cut = undefined;
    for (const thaw of this.#thaws.splice(0)) thaw();
  }
}

/** Cuts a connection; the result, if any, lets it go on. */
const CUTTERS: Record<CutKind, (socket: Socket) => (() => void) | void> = {
  hang: silence,
  reset: (socket) => {
    socket.resetAndDestroy();
  },
  refuse_new: () => {},
  silence_open: silence,
  freeze,
};

/** Lets a connection carry nothing until the result is called. */
function freeze(socket: Socket): () => void {
  const written: (string | Uint8Array)[] = [];
  socket.pause();
  socket.resume = () => socket;
  socket.write = (bytes: string | Uint8Array) => written.push(bytes) > 0;
  return () => {
    const { prototype } = Socket;
    socket.resume = prototype.resume;
    socket.write = prototype.write;
    if (socket.destroyed) return;
    for (const bytes of written) socket.write(bytes, "latin1");
    socket.resume();
  };
}

/** From now on the connection carries nothing in either direction. */
function silence(socket: Socket): void {
  socket.pause();
  socket.resume = () => socket;
  socket.write = () => true;
}
