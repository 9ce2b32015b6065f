import { Packr } from "msgpackr";
import type { RawData, WebSocket } from "ws";
import type { LinkMessage } from "./messages.ts";

/** Bytes that may wait in a socket before the link is given up. */
const MAX_BUFFERED_BYTES = 32_000_000;

const packr = new Packr({ useRecords: false });

/** Sends a message, or drops it when the socket is not open. */
export function sendMessage(socket: WebSocket, message: LinkMessage): void {
  if (socket.readyState !== socket.OPEN) return;
  if (socket.bufferedAmount > MAX_BUFFERED_BYTES) {
    socket.terminate();
    return;
  }
  socket.send(packr.pack(message));
}

/** Decodes a message; undefined for bytes that cannot be read. */
export function readMessage(data: RawData): LinkMessage | undefined {
  try {
    return packr.unpack(data as Uint8Array) as LinkMessage;
  } catch {
    return undefined;
  }
}
