import type { IncomingMessage } from "node:http";
import type { Socket } from "node:net";
import process from "node:process";

/** Connections whose requests are not served any more. */
const stopped = new WeakSet<Socket>();

/**
 * Pauses a connection of an HTTP server after the read in progress. The server
 * library resumes it with each piece of a body and at the end of each request,
 * which has no effect meanwhile.
 */
export function holdReading(socket: Socket): void {
  if (isHeld(socket)) return;
  socket.resume = () => socket;
  // What was resumed before is resumed in ticks before this one.
  process.nextTick(() => {
    if (isHeld(socket)) socket.pause();
  });
}

/** Reads on a connection that was held, unless its reading has stopped. */
export function releaseReading(socket: Socket): void {
  if (stopped.has(socket)) return;
  Reflect.deleteProperty(socket, "resume");
  socket.resume();
}

/** Stops reading a request that is not served; drops what has been read. */
export function stopReading(req: IncomingMessage): void {
  stopped.add(req.socket);
  holdReading(req.socket);
  req.resume();
}

/** Reads on a connection, whether its reading has stopped or not. */
export function readRest(socket: Socket): void {
  stopped.delete(socket);
  releaseReading(socket);
}

function isHeld(socket: Socket): boolean {
  return Object.hasOwn(socket, "resume");
}
