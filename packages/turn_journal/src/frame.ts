import { Packr } from "msgpackr";
import { crc32 } from "node:zlib";

/** Length and CRC-32 before each payload: 4 bytes each, big-endian. */
const HEADER_BYTES = 8;
/** Sizes of the expiry and key length fields that start each payload. */
const EXPIRY_BYTES = 8;
const KEY_LENGTH_BYTES = 2;
/** A frame header with a larger payload length is treated as corrupt. */
const MAX_PAYLOAD_BYTES = 64_000_000;

const packr = new Packr({ useRecords: false });

/** Metadata of a record that can be read without decoding the record. */
export interface FrameMetadata {
  key: string;
  /** Wall-clock time in ms after which the record may be dropped. */
  expiresAt: number;
}

/** A frame whose record is decoded on demand. */
export interface Frame<R> extends FrameMetadata {
  /** Decodes and returns the record. */
  read(): R;
}

/** Encodes a record and its metadata as a frame with length and checksum. */
export function encodeFrame(metadata: FrameMetadata, record: unknown): Buffer {
  const body = packr.pack(record);
  const key = Buffer.from(metadata.key, "utf8");
  const keyOffset = HEADER_BYTES + EXPIRY_BYTES + KEY_LENGTH_BYTES;
  const bodyOffset = keyOffset + key.length;
  const frame = Buffer.allocUnsafe(bodyOffset + body.length);
  frame.writeDoubleBE(metadata.expiresAt, HEADER_BYTES);
  frame.writeUInt16BE(key.length, HEADER_BYTES + EXPIRY_BYTES);
  key.copy(frame, keyOffset);
  body.copy(frame, bodyOffset);
  const payload = frame.subarray(HEADER_BYTES);
  frame.writeUInt32BE(payload.length, 0);
  frame.writeUInt32BE(crc32(payload), 4);
  return frame;
}

/** Frames at the beginning of a file. */
export interface DecodedFrames<R> {
  frames: Frame<R>[];
  /** Bytes that these frames occupy. */
  frameBytes: number;
  /** Whether something else follows them. */
  isDamaged: boolean;
}

/**
 * Decodes frames up to the first corrupt one. If all bytes that were synced are
 * before it, those after it were never acknowledged: each sync also covers all
 * bytes before it.
 */
export function decodeFrames<R>(bytes: Buffer): DecodedFrames<R> {
  const frames: Frame<R>[] = [];
  let offset = 0;
  while (offset + HEADER_BYTES <= bytes.length) {
    const length = bytes.readUInt32BE(offset);
    const end = offset + HEADER_BYTES + length;
    const isValidLength = length >= EXPIRY_BYTES + KEY_LENGTH_BYTES &&
      length <= MAX_PAYLOAD_BYTES;
    if (!isValidLength || end > bytes.length) break;
    const payload = bytes.subarray(offset + HEADER_BYTES, end);
    if (crc32(payload) !== bytes.readUInt32BE(offset + 4)) break;
    frames.push(parsePayload(payload));
    offset = end;
  }
  return { frames, frameBytes: offset, isDamaged: offset !== bytes.length };
}

function parsePayload<R>(payload: Buffer): Frame<R> {
  const keyOffset = EXPIRY_BYTES + KEY_LENGTH_BYTES;
  const bodyOffset = keyOffset + payload.readUInt16BE(EXPIRY_BYTES);
  return {
    key: payload.toString("utf8", keyOffset, bodyOffset),
    expiresAt: payload.readDoubleBE(0),
    read: () => packr.unpack(payload.subarray(bodyOffset)) as R,
  };
}
