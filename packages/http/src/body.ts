import { BadRequestError, TooLargeError } from "@toucantrestle/verdict";
import { Buffer } from "node:buffer";
import type { IncomingMessage } from "node:http";

/**
 * Reads a request's body as text.
 *
 * @throws {TooLargeError} when it is over the limit
 */
export async function readBody(
  req: IncomingMessage,
  maxBytes: number,
): Promise<string> {
  const declared = Number(req.headers["content-length"] ?? 0);
  if (declared > maxBytes) throw tooLarge(maxBytes);
  const pieces: Buffer[] = [];
  let bytes = 0;
  for await (const piece of req) {
    bytes += (piece as Buffer).length;
    if (bytes > maxBytes) throw tooLarge(maxBytes);
    pieces.push(piece as Buffer);
  }
  return Buffer.concat(pieces).toString();
}

/**
 * Parses JSON text.
 *
 * @throws {BadRequestError} when it is not JSON
 */
export function parseJson(text: string): unknown {
  try {
    return JSON.parse(text);
  } catch {
    throw new BadRequestError("the body is not valid JSON");
  }
}

function tooLarge(maxBytes: number) {
  return new TooLargeError(`the body is over the limit of ${maxBytes} bytes`);
}
