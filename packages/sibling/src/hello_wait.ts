import type { Timer } from "@toucantrestle/timer";
import type { Socket } from "node:net";
import type { WebSocket } from "ws";

/** Most bytes that are read from a stranger before its hello. */
const MAX_HELLO_BYTES = 65_536;

/** Options of `awaitHello`. */
export interface HelloWaitOptions {
  socket: WebSocket;
  /** The connection that carries the socket. */
  connection: Socket;
  timeoutMs: number;
  timer: Timer;
}

/**
 * Closes a link that a stranger has dialled, if its hello is too long or does
 * not come in time. The result ends the wait.
 */
export function awaitHello(
  { socket, connection, timeoutMs, timer }: HelloWaitOptions,
): () => void {
  let bytes = 0;
  const count = (chunk: Uint8Array) => {
    bytes += chunk.length;
    if (bytes > MAX_HELLO_BYTES) socket.terminate();
  };
  const timeout = timer.after(timeoutMs, () => socket.terminate());
  connection.on("data", count);
  return () => {
    connection.off("data", count);
    timeout.cancel();
  };
}
