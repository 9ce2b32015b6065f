/**
 * Process that sends notices without end to the link server at the address that
 * is its argument.
 *
 * @module
 */
import { Packr } from "msgpackr";
import process from "node:process";
import { WebSocket } from "ws";

const BATCH = 200;
const MAX_BUFFERED_BYTES = 1_000_000;
const packr = new Packr({ useRecords: false });
const notice = packr.pack({
  t: "notice",
  name: "text",
  body: "x".repeat(1_000),
});

const socket = new WebSocket(`ws://${process.argv[2]}`, {
  perMessageDeflate: false,
});
socket.on("error", () => process.exit());
socket.on("open", sendEndlessly);
process.on("disconnect", () => process.exit());

function sendEndlessly(): void {
  if (socket.bufferedAmount < MAX_BUFFERED_BYTES) {
    for (let i = 0; i < BATCH; i++) socket.send(notice);
  }
  setImmediate(sendEndlessly);
}
