// Stand-in of consumers that send long bodies over kept channels. Together they
// send no faster than the links of the fronts take it.
import { connect } from "node:net";
import { setTimeout as delay } from "node:timers/promises";
import { newId } from "./consumer.mjs";

const CHUNK = Buffer.alloc(32_768, 97);
const MAX_UNSENT_BYTES = 200_000;

/** A kept channel of one consumer. */
export class UploadChannel {
  #text = "";
  #waiting;
  /** Whether the channel has ended, and how. */
  endedBy = "";

  constructor({ caller, name }) {
    this.front = name;
    this.socket = connect(caller.port, caller.host);
    this.socket.setNoDelay(true);
    this.socket.on("data", (chunk) => this.#onText(chunk.toString("latin1")));
    this.socket.on("end", () => this.#onEnd("end"));
    this.socket.on("error", (err) => this.#onEnd(err.code));
    this.socket.on("close", () => this.#onEnd("close"));
  }

  /** Begins a request whose body follows; `answer` resolves with its status, 0 if none. */
  begin(path, bytes) {
    this.id = newId();
    this.leftBytes = bytes;
    if (this.endedBy) {
      this.leftBytes = 0;
      this.answer = Promise.resolve(0);
      return;
    }
    this.answer = new Promise((done) => this.#waiting = done);
    this.socket.write(
      `POST ${path} HTTP/1.1\r\nHost: site.example\r\nRequest-Id: ${this.id}\r\nDeadline-Ms: 8000\r\nContent-Length: ${bytes}\r\n\r\n`,
    );
  }

  /** Sends the next piece; returns its size. */
  sendPiece() {
    if (this.endedBy || this.leftBytes === 0) return 0;
    if (this.socket.writableLength > MAX_UNSENT_BYTES) return 0;
    const bytes = Math.min(this.leftBytes, CHUNK.length);
    this.socket.write(CHUNK.subarray(0, bytes));
    this.leftBytes -= bytes;
    return bytes;
  }

  #onText(text) {
    this.#text += text;
    const end = this.#text.indexOf("\r\n\r\n");
    if (end < 0) return;
    const length = Number(/content-length: (\d+)/i.exec(this.#text)?.[1] ?? 0);
    if (this.#text.length < end + 4 + length) return;
    const status = Number(this.#text.slice(9, 12));
    this.#text = this.#text.slice(end + 4 + length);
    // After an early answer the rest of the body is not sent.
    if (this.leftBytes > 0) this.socket.destroy();
    this.#settle(status);
  }

  #onEnd(how) {
    this.endedBy ||= how;
    this.leftBytes = 0;
    this.#settle(0);
  }

  #settle(status) {
    this.#waiting?.(status);
    this.#waiting = undefined;
  }
}

/** Sends the bodies of all channels side by side, at `bytesPerS` together. */
export async function sendBodies(channels, bytesPerS) {
  const startedAt = Date.now();
  let sentBytes = 0;
  while (channels.some((it) => !it.endedBy && it.leftBytes > 0)) {
    const allowed = (Date.now() - startedAt) / 1_000 * bytesPerS;
    let isStuck = true;
    for (const it of channels) {
      if (sentBytes >= allowed) break;
      const bytes = it.sendPiece();
      sentBytes += bytes;
      if (bytes > 0) isStuck = false;
    }
    channels.sort(() => Math.random() - 0.5);
    if (isStuck || sentBytes >= allowed) await delay(1);
    if (Date.now() - startedAt > 15_000) return;
  }
}
