import { Unpackr } from "msgpackr";
import { decodedBytes } from "./decoded_bytes.ts";
import type { LinkMessage } from "./messages.ts";

/** Bounds of a message that is received. */
export interface MessageLimits {
  /** Most bytes of its encoded form. */
  maxBytes: number;
  /** Most bytes that it takes once it is decoded, as estimated. */
  maxDecodedBytes: number;
}

/** A request with a large body, and what is around it. */
export const DEFAULT_LIMITS: MessageLimits = {
  maxBytes: 17_000_000,
  maxDecodedBytes: 40_000_000,
};

/** A shorter message cannot become too much, whatever it holds. */
const MIN_CHECKED_BYTES = 65_536;

const unpackr = new Unpackr({ useRecords: false });

/**
 * Decodes a message. Returns undefined if the bytes are none, or would take too
 * much memory.
 */
export function decodeMessage(
  bytes: Uint8Array,
  { maxDecodedBytes }: MessageLimits = DEFAULT_LIMITS,
): LinkMessage | undefined {
  const isLarge = bytes.length >= MIN_CHECKED_BYTES;
  if (isLarge && decodedBytes(bytes) > maxDecodedBytes) return undefined;
  try {
    const message = unpackr.unpack(bytes) as unknown;
    return isMessage(message) ? message : undefined;
  } catch {
    return undefined;
  }
}

function isMessage(value: unknown): value is LinkMessage {
  return typeof value === "object" && value !== null &&
    "t" in value && typeof value.t === "string";
}
