import { ReadTurns } from "@toucantrestle/connection";
import {
  ByteCollector,
  type MemoryHolder,
  type MemoryHolders,
} from "@toucantrestle/memory";
import type { Timer } from "@toucantrestle/timer";
import type { IncomingMessage } from "node:http";

/** Result of `BodyReader.read`. */
export type BodyResult =
  | { kind: "whole"; body: Buffer }
  | { kind: "too_large" }
  /** The body was not complete at its deadline. */
  | { kind: "late" }
  /** The process lacks memory. */
  | { kind: "memory_full" }
  /** The caller disconnected before the body was complete. */
  | { kind: "cut" };

/** What is expected of the body of a request. */
export interface BodyLimits {
  maxBytes: number;
  /** When it has to be complete, in ms on the monotonic clock. */
  deadlineAt: number;
}

const CHECK_INTERVAL_MS = 500;
/** Pieces below this size cost more than their bytes. */
const SMALL_PIECE_BYTES = 512;
/** Number of small pieces after which other connections have their turn. */
const SMALL_PIECES_PER_TURN = 256;

/** Reads the bodies of requests, each within its limits. */
export class BodyReader {
  readonly #holders: MemoryHolders;
  readonly #timer: Timer;
  readonly #turns = new ReadTurns();
  readonly #arriving = new Set<ArrivingBody>();

  constructor(opts: { holders: MemoryHolders; timer: Timer }) {
    this.#holders = opts.holders;
    this.#timer = opts.timer;
  }

  /** Starts looking for bodies that are late. */
  start(): void {
    this.#timer.every(CHECK_INTERVAL_MS, () => this.#endLate());
  }

  /** Reads a body. Who gets another result than a whole body ends the connection. */
  read(req: IncomingMessage, limits: BodyLimits): Promise<BodyResult> {
    return new Promise((resolve) => {
      const body = new ArrivingBody(req, {
        limits,
        turns: this.#turns,
        onEnd: (result) => {
          remove();
          this.#arriving.delete(body);
          resolve(result);
        },
      });
      const remove = this.#holders.add(body);
      this.#arriving.add(body);
      body.start();
    });
  }

  #endLate(): void {
    const now = this.#timer.monotonicNow();
    for (const body of this.#arriving) {
      if (now >= body.deadlineAt) body.end({ kind: "late" });
    }
  }
}

/** The body of one request while it arrives. */
class ArrivingBody implements MemoryHolder {
  readonly purpose = "request_bodies";
  readonly deadlineAt: number;
  readonly #req: IncomingMessage;
  readonly #collector: ByteCollector;
  readonly #turns: ReadTurns;
  readonly #onEnd: (result: BodyResult) => void;
  readonly #maxBytes: number;
  #hasEnded = false;
  /** Small pieces since the connection was last deferred. */
  #smallPieces = 0;

  constructor(req: IncomingMessage, opts: {
    limits: BodyLimits;
    turns: ReadTurns;
    onEnd: (result: BodyResult) => void;
  }) {
    const { maxBytes, deadlineAt } = opts.limits;
    this.deadlineAt = deadlineAt;
    this.#req = req;
    this.#collector = new ByteCollector({ maxBytes });
    this.#turns = opts.turns;
    this.#onEnd = opts.onEnd;
    this.#maxBytes = maxBytes;
  }

  start(): void {
    const req = this.#req;
    req.on("data", (piece: Buffer) => this.#onPiece(piece));
    req.on("end", () => {
      this.end({ kind: "whole", body: this.#collector.take() });
    });
    req.on("close", () => this.end({ kind: "cut" }));
    req.on("error", () => this.end({ kind: "cut" }));
    const declaredBytes = Number(req.headers["content-length"] ?? 0);
    if (declaredBytes > this.#maxBytes) this.end({ kind: "too_large" });
  }

  keptBytes(): number {
    return this.#collector.keptBytes;
  }

  cut(): void {
    this.end({ kind: "memory_full" });
  }

  end(result: BodyResult): void {
    if (this.#hasEnded) return;
    this.#hasEnded = true;
    this.#collector.clear();
    this.#onEnd(result);
  }

  #onPiece(piece: Buffer): void {
    if (this.#hasEnded) return;
    if (!this.#collector.push(piece)) return this.end({ kind: "too_large" });
    if (piece.length >= SMALL_PIECE_BYTES) return;
    this.#smallPieces += 1;
    if (this.#smallPieces < SMALL_PIECES_PER_TURN) return;
    this.#smallPieces = 0;
    this.#turns.defer(this.#req.socket);
  }
}
