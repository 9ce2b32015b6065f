import { Packr } from "msgpackr";
import type { RawData, WebSocket } from "ws";
import type { LinkMessage } from "./messages.ts";

/** The link is closed when more than this is buffered in its socket. */
const MAX_BUFFERED_BYTES = 32_000_000;

const packr = new Packr({ useRecords: false });

/**
 * Sends a message, or drops it if the socket is not open. Closes the socket if
 * the remote process reads too slowly. `onSent` is called once the message has
 * been handed to the operating system, or is dropped.
 */
export function sendMessage(
  socket: WebSocket,
  message: LinkMessage,
  onSent: () => void = () => {},
): void {
  if (socket.readyState !== socket.OPEN) return onSent();
  if (socket.bufferedAmount > MAX_BUFFERED_BYTES) {
    socket.terminate();
    return onSent();
  }
  socket.send(packr.pack(message), onSent);
}

/** Decodes a message. Returns undefined if the bytes are none. */
export function decodeMessage(data: RawData): LinkMessage | undefined {
  try {
    const message = packr.unpack(data as Uint8Array) as unknown;
    return isMessage(message) ? message : undefined;
  } catch {
    return undefined;
  }
}

function isMessage(value: unknown): value is LinkMessage {
  return typeof value === "object" && value !== null &&
    "t" in value && typeof value.t === "string";
}
