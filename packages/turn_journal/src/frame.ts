import { Packr } from "msgpackr";
import { crc32 } from "node:zlib";

/** Length and checksum before each payload, 4 bytes each, big endian. */
const HEADER_BYTES = 8;
/** Expiry and length of the key at the start of each payload, in bytes. */
const EXPIRY_BYTES = 8;
const KEY_LENGTH_BYTES = 2;
/** A longer length is taken for damage. */
const MAX_PAYLOAD_BYTES = 64_000_000;

const packr = new Packr({ useRecords: false });

/** What a frame says of its record without the record being decoded. */
export interface FrameLabel {
  key: string;
  /** Wall-clock time in ms after which the record may be dropped. */
  expiresAt: number;
}

/** A frame whose record is decoded when it is asked for. */
export interface Frame<R> extends FrameLabel {
  read(): R;
}

/** A record with its label, its length and a checksum. */
export function encodeFrame(label: FrameLabel, record: unknown): Buffer {
  const body = packr.pack(record);
  const key = Buffer.from(label.key, "utf8");
  const keyAt = HEADER_BYTES + EXPIRY_BYTES + KEY_LENGTH_BYTES;
  const bodyAt = keyAt + key.length;
  const frame = Buffer.allocUnsafe(bodyAt + body.length);
  frame.writeDoubleBE(label.expiresAt, HEADER_BYTES);
  frame.writeUInt16BE(key.length, HEADER_BYTES + EXPIRY_BYTES);
  key.copy(frame, keyAt);
  body.copy(frame, bodyAt);
  const payload = frame.subarray(HEADER_BYTES);
  frame.writeUInt32BE(payload.length, 0);
  frame.writeUInt32BE(crc32(payload), 4);
  return frame;
}

/**
 * Finds frames up to the first damaged one. What follows damage was never
 * acknowledged, since a sync covers everything before it.
 */
export function decodeFrames<R>(
  bytes: Buffer,
): { frames: Frame<R>[]; isDamaged: boolean } {
  const frames: Frame<R>[] = [];
  let at = 0;
  while (at + HEADER_BYTES <= bytes.length) {
    const length = bytes.readUInt32BE(at);
    const end = at + HEADER_BYTES + length;
    const isPlausible = length >= EXPIRY_BYTES + KEY_LENGTH_BYTES &&
      length <= MAX_PAYLOAD_BYTES;
    if (!isPlausible || end > bytes.length) break;
    const payload = bytes.subarray(at + HEADER_BYTES, end);
    if (crc32(payload) !== bytes.readUInt32BE(at + 4)) break;
    frames.push(readFrame(payload));
    at = end;
  }
  return { frames, isDamaged: at !== bytes.length };
}

function readFrame<R>(payload: Buffer): Frame<R> {
  const keyAt = EXPIRY_BYTES + KEY_LENGTH_BYTES;
  const bodyAt = keyAt + payload.readUInt16BE(EXPIRY_BYTES);
  return {
    key: payload.toString("utf8", keyAt, bodyAt),
    expiresAt: payload.readDoubleBE(0),
    read: () => packr.unpack(payload.subarray(bodyAt)) as R,
  };
}
