import { closeSync, openSync, readSync } from "node:fs";
import { open } from "node:fs/promises";
import { decodeFrames } from "./frame.ts";
import type { FramePlace } from "./summary.ts";

/** A frame that was kept and cannot be read. */
export class DamagedFrameError extends Error {
  override name = "DamagedFrameError";
}

/** Reads a file in as few calls as possible. */
export async function readWhole(path: string): Promise<Buffer> {
  const file = await open(path, "r");
  try {
    const { size } = await file.stat();
    const bytes = Buffer.allocUnsafe(size);
    let length = 0;
    while (length < size) {
      const left = size - length;
      const { bytesRead } = await file.read(bytes, length, left, length);
      if (bytesRead === 0) break;
      length += bytesRead;
    }
    return bytes.subarray(0, length);
  } finally {
    await file.close();
  }
}

/**
 * Reads one frame from its place in a segment.
 *
 * @throws {DamagedFrameError} when it is not what was written there
 */
export function readFrameAt<R>(path: string, place: FramePlace): R {
  const bytes = Buffer.allocUnsafe(place.length);
  const file = openSync(path, "r");
  try {
    readSync(file, bytes, 0, place.length, place.at);
  } finally {
    closeSync(file);
  }
  const [frame] = decodeFrames<R>(bytes).frames;
  if (frame?.key !== place.key) {
    throw new DamagedFrameError(`${path}: frame at ${place.at} is damaged`);
  }
  return frame.read();
}
