import { Packr } from "msgpackr";
import { crc32 } from "node:zlib";

/** Length and checksum before each payload, 4 bytes each, big endian. */
const HEADER_BYTES = 8;
/** A longer length is taken for damage. */
const MAX_PAYLOAD_BYTES = 64_000_000;

const packr = new Packr({ useRecords: false });

/** A record with its length and checksum. */
export function encodeFrame(record: unknown): Buffer {
  const payload = packr.pack(record);
  const frame = Buffer.allocUnsafe(HEADER_BYTES + payload.length);
  frame.writeUInt32BE(payload.length, 0);
  frame.writeUInt32BE(crc32(payload), 4);
  payload.copy(frame, HEADER_BYTES);
  return frame;
}

/**
 * Decodes frames up to the first damaged one. What follows damage was never
 * acknowledged, since a sync covers everything before it.
 */
export function decodeFrames(
  bytes: Buffer,
): { records: unknown[]; isDamaged: boolean } {
  const records: unknown[] = [];
  let at = 0;
  while (at + HEADER_BYTES <= bytes.length) {
    const length = bytes.readUInt32BE(at);
    const end = at + HEADER_BYTES + length;
    const isPlausible = length > 0 && length <= MAX_PAYLOAD_BYTES;
    if (!isPlausible || end > bytes.length) break;
    const payload = bytes.subarray(at + HEADER_BYTES, end);
    if (crc32(payload) !== bytes.readUInt32BE(at + 4)) break;
    records.push(packr.unpack(payload));
    at = end;
  }
  return { records, isDamaged: at !== bytes.length };
}
