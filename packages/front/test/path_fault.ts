import { dialTcp } from "@toucantrestle/upstream_channel";
import { connect, Socket } from "node:net";

/** What a cut does to connections: to open ones and to new ones. */
export type CutKind = "hang" | "reset" | "refuse_new" | "silence_open";

/** Port on which nothing listens. */
const CLOSED_PORT = 1;

/** Way from one front to all upstreams, which a test can cut. */
export class PathFault {
  readonly #sockets = new Set<Socket>();
  #cut: CutKind | undefined;
  /** Connections that were asked for. */
  dialCount = 0;

  /** Opens a connection as the present state of the way allows. */
  readonly dial = (address: string): Socket => {
    this.dialCount += 1;
    if (this.#cut === "hang") return new Socket();
    const allowsNew = this.#cut === undefined || this.#cut === "silence_open";
    if (!allowsNew) return connect(CLOSED_PORT, "127.0.0.1");
    const socket = dialTcp(address);
    this.#sockets.add(socket);
    socket.on("close", () => this.#sockets.delete(socket));
    return socket;
  };

  cut(kind: CutKind): void {
    this.#cut = kind;
    for (const socket of this.#sockets) CUTTERS[kind](socket);
  }

  heal(): void {
    this.#cut = undefined;
  }
}

const CUTTERS: Record<CutKind, (socket: Socket) => void> = {
  hang: silence,
  reset: (socket) => socket.resetAndDestroy(),
  refuse_new: () => {},
  silence_open: silence,
};

/** From now on the connection carries nothing in either direction. */
function silence(socket: Socket): void {
  socket.pause();
  socket.resume = () => socket;
  socket.write = () => true;
}
