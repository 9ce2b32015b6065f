import type { Timer } from "@toucantrestle/timer";
import type { Socket } from "node:net";
import { readRest } from "./pause.ts";

/** Time for which the peer may read the last response, in ms. */
const LINGER_MS = 1_000;
/** Most bytes that are read and dropped meanwhile. */
const MAX_DROPPED_BYTES = 4_194_304;

/**
 * Makes the end of a connection, after its last response, wait until the peer
 * closes it or a short time has passed. The kernel resets a connection that is
 * closed with unread bytes, and a peer that still sends would lose the response.
 */
export function lingerAtEnd(socket: Socket, timer: Timer): void {
  // The server library calls this after the last response.
  socket.destroySoon = () => linger(socket, timer);
}

function linger(socket: Socket, timer: Timer): void {
  if (socket.destroyed) return;
  // Without its listener, the server library makes no requests of the bytes.
  socket.removeAllListeners("data");
  let leftBytes = MAX_DROPPED_BYTES;
  socket.on("data", (piece) => {
    leftBytes -= piece.length;
    if (leftBytes < 0) socket.pause();
  });
  readRest(socket);
  socket.end();
  const timeout = timer.after(LINGER_MS, () => socket.destroy());
  socket.once("close", () => timeout.cancel());
}
