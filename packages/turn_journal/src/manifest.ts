import { join } from "node:path";
import { MANIFEST_FILE, replaceFile } from "./data_folder.ts";
import { DamagedDiskError, isNotFound } from "./errors.ts";
import { decodeFrames, encodeFrame, type FrameMetadata } from "./frame.ts";
import { readEntireFile } from "./read_file.ts";

/** What was synced of a segment, at least. */
export interface ManifestEntry {
  /** Number of the segment. */
  number: number;
  /** Bytes from its beginning that have been synced. */
  bytes: number;
  /** Latest expiry of the records in these bytes, as wall-clock time in ms. */
  expiresAt: number;
}

/** Metadata of the single frame in a manifest. */
const METADATA: FrameMetadata = { key: "manifest", expiresAt: 0 };

/**
 * Reads the manifest. Returns undefined if there is none, as in a folder of an
 * earlier build.
 *
 * @throws {DamagedDiskError} if it is not what was written
 */
export async function readManifest(
  folder: string,
): Promise<ManifestEntry[] | undefined> {
  const path = join(folder, MANIFEST_FILE);
  try {
    const content = await readEntireFile(path);
    const { frames, isDamaged } = decodeFrames<ManifestEntry[]>(content);
    const [frame] = frames;
    if (isDamaged || frame?.key !== METADATA.key) {
      throw new DamagedDiskError(`${path} is corrupt or incomplete`);
    }
    return frame.read();
  } catch (err) {
    if (isNotFound(err)) return undefined;
    throw err;
  }
}

/** Replaces the manifest atomically. Resolves once the new one is durable. */
export async function writeManifest(
  folder: string,
  entries: readonly ManifestEntry[],
): Promise<void> {
  await replaceFile(folder, MANIFEST_FILE, encodeFrame(METADATA, entries));
}
