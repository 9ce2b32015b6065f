import { closeSync, openSync, readSync } from "node:fs";
import { open } from "node:fs/promises";
import { DamagedFrameError } from "./errors.ts";
import { decodeFrames } from "./frame.ts";
import type { FrameLocation } from "./summary.ts";

/** Reads an entire file with as few system calls as possible. */
export async function readEntireFile(path: string): Promise<Buffer> {
  const file = await open(path, "r");
  try {
    const { size } = await file.stat();
    const bytes = Buffer.allocUnsafe(size);
    let length = 0;
    while (length < size) {
      const remaining = size - length;
      const { bytesRead } = await file.read(bytes, length, remaining, length);
      if (bytesRead === 0) break;
      length += bytesRead;
    }
    return bytes.subarray(0, length);
  } finally {
    await file.close();
  }
}

/**
 * Reads and decodes the frame at a location in a segment file.
 *
 * @throws {DamagedFrameError} if no valid frame with the expected key is there
 */
export function readFrameAt<R>(path: string, location: FrameLocation): R {
  const bytes = Buffer.allocUnsafe(location.length);
  const file = openSync(path, "r");
  let length = 0;
  try {
    length = readSync(file, bytes, 0, location.length, location.at);
  } finally {
    closeSync(file);
  }
  const [frame] = decodeFrames<R>(bytes.subarray(0, length)).frames;
  if (frame?.key !== location.key) {
    throw new DamagedFrameError(
      `${path}: frame at byte ${location.at} is corrupt`,
    );
  }
  return frame.read();
}
