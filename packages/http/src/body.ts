import type { ReadTurns } from "@toucantrestle/connection";
import {
  ByteCollector,
  type MemoryHolders,
  parseJsonText,
  TooManyValuesError,
} from "@toucantrestle/memory";
import {
  BadRequestError,
  TooLargeError,
  UnavailableError,
  type Verdict,
} from "@toucantrestle/verdict";
import type { Buffer } from "node:buffer";
import type { IncomingMessage } from "node:http";

/** Options of `readBody`. */
export interface ReadBodyOptions {
  maxBytes: number;
  /** Where the body is counted while it arrives. */
  holders: MemoryHolders;
  /** Which request is read on in which turn of the event loop. */
  turns: ReadTurns;
}

/** Pieces below this size cost more than their bytes. */
const SMALL_PIECE_BYTES = 512;
/** Number of small pieces after which other connections have their turn. */
const SMALL_PIECES_PER_TURN = 256;

const NO_MEMORY_RETRY_AFTER_MS = 1_000;

/**
 * Reads a request body as text.
 *
 * @throws {TooLargeError} if the body exceeds `maxBytes`
 * @throws {UnavailableError} if the process lacks memory for it
 */
export async function readBody(
  req: IncomingMessage,
  { maxBytes, holders, turns }: ReadBodyOptions,
): Promise<string> {
  const declaredBytes = Number(req.headers["content-length"] ?? 0);
  if (declaredBytes > maxBytes) throw tooLargeError(maxBytes);
  const collector = new ByteCollector({ maxBytes });
  return await new Promise((resolve, reject) => {
    let smallPieces = 0;
    const onData = (piece: Buffer) => {
      if (!collector.push(piece)) return fail(tooLargeError(maxBytes));
      if (piece.length >= SMALL_PIECE_BYTES) return;
      smallPieces += 1;
      if (smallPieces % SMALL_PIECES_PER_TURN === 0) turns.defer(req.socket);
    };
    const settle = () => {
      req.off("data", onData);
      removeHolder();
    };
    const fail = (err: Error) => {
      settle();
      collector.clear();
      reject(err);
    };
    const removeHolder = holders.add({
      purpose: "request_bodies",
      keptBytes: () => collector.keptBytes,
      cut: () => fail(noMemoryError()),
    });
    if (req.destroyed) return fail(brokenOffError());
    req.on("data", onData);
    req.once("end", () => {
      settle();
      resolve(collector.takeText());
    });
    req.once("error", fail);
    req.once("close", () => fail(brokenOffError()));
  });
}

/**
 * Parses JSON text.
 *
 * @throws {BadRequestError} if the text is not valid JSON
 * @throws {TooLargeError} if it has too many values
 */
export function parseJson(text: string): unknown {
  try {
    return parseJsonText(text);
  } catch (err) {
    if (err instanceof TooManyValuesError) {
      throw new TooLargeError("the body has too many JSON values");
    }
    throw new BadRequestError("the body is not valid JSON");
  }
}

function tooLargeError(maxBytes: number) {
  return new TooLargeError(`the body is over the limit of ${maxBytes} bytes`);
}

function noMemoryError() {
  const verdict: Verdict = "not_run";
  return new UnavailableError("the host lacks memory for the body", {
    props: { verdict, retryAfterMs: NO_MEMORY_RETRY_AFTER_MS },
  });
}

function brokenOffError() {
  return new BadRequestError("the connection closed before the body ended");
}
