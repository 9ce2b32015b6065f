import { BadRequestError, TooLargeError } from "@toucantrestle/verdict";
import { Buffer } from "node:buffer";
import type { IncomingMessage } from "node:http";

/**
 * Reads a request body as text.
 *
 * @throws {TooLargeError} if the body exceeds `maxBytes`
 */
export async function readBody(
  req: IncomingMessage,
  maxBytes: number,
): Promise<string> {
  const declaredBytes = Number(req.headers["content-length"] ?? 0);
  if (declaredBytes > maxBytes) throw tooLargeError(maxBytes);
  const chunks: Buffer[] = [];
  let bytes = 0;
  for await (const chunk of req) {
    bytes += (chunk as Buffer).length;
    if (bytes > maxBytes) throw tooLargeError(maxBytes);
    chunks.push(chunk as Buffer);
  }
  return Buffer.concat(chunks).toString();
}

/**
 * Parses JSON text.
 *
 * @throws {BadRequestError} if the text is not valid JSON
 */
export function parseJson(text: string): unknown {
  try {
    return JSON.parse(text);
  } catch {
    throw new BadRequestError("the body is not valid JSON");
  }
}

function tooLargeError(maxBytes: number) {
  return new TooLargeError(`the body is over the limit of ${maxBytes} bytes`);
}
