import type { IncomingMessage } from "node:http";

/** Pauses the connection of a request that is being read. */
export function pauseReading(req: IncomingMessage): void {
  // The stream asks for more after each piece, which resumes the connection.
  req._read = () => {};
  if (!req.socket.isPaused()) req.socket.pause();
}

/** Reads a request on whose connection was paused. */
export function resumeReading(req: IncomingMessage): void {
  Reflect.deleteProperty(req, "_read");
  req.socket.resume();
}

/** Stops reading a request that is not served; drops what has been read. */
export function stopReading(req: IncomingMessage): void {
  req.on("data", () => {
    if (!req.socket.writableEnded) pauseReading(req);
  });
}
