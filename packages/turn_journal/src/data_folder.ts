/**
 * Names of the files in a data folder. Anything else there is another's: it is
 * neither read nor moved.
 *
 * @module
 */
import { mkdir, open, readdir, rename, stat } from "node:fs/promises";
import { dirname, join, resolve } from "node:path";

/** Name of the state file. */
export const STATE_FILE = "state.json";
/** Name of the manifest. */
export const MANIFEST_FILE = "manifest";
/** Suffix of a file that is to replace another one. */
export const REPLACEMENT_SUFFIX = ".new";
/** Largest number whose name has the digits of a segment's name. */
export const MAX_SEGMENT_NUMBER = 99_999_999;

const NUMBER_DIGITS = 8;
const SEGMENT_FILE = /^(\d{8})\.(log|sum)$/;

/** Kinds of files that belong to a segment. */
export type SegmentFileKind = "log" | "sum";

/** What a data folder holds. */
export interface FolderContent {
  /** Numbers of the segments, ascending. */
  segments: number[];
  /** Numbers that no new segment can have: their names are in use. */
  takenNumbers: Set<number>;
  /** Names of all files of the journal and of the state, in no order. */
  files: string[];
  /** Names of such files that something else has, such as a folder or a pipe. */
  obstacles: string[];
  /** Whether there are files of a journal. */
  hasRecords: boolean;
}

/** Returns the name of a segment's file. */
export function segmentFileName(number: number, kind: SegmentFileKind): string {
  return `${String(number).padStart(NUMBER_DIGITS, "0")}.${kind}`;
}

/** Lists the files of a data folder that belong to the journal or the state. */
export async function listFolder(folder: string): Promise<FolderContent> {
  const content: FolderContent = {
    segments: [],
    takenNumbers: new Set(),
    files: [],
    obstacles: [],
    hasRecords: false,
  };
  const otherFiles = new Set(
    [STATE_FILE, MANIFEST_FILE].flatMap((it) => [it, it + REPLACEMENT_SUFFIX]),
  );
  for (const entry of await readdir(folder, { withFileTypes: true })) {
    const [, digits, kind] = SEGMENT_FILE.exec(entry.name) ?? [];
    const number = Number(digits);
    if (digits !== undefined) content.takenNumbers.add(number);
    const isOurs = kind === "sum" || entry.name === STATE_FILE ||
      entry.name === MANIFEST_FILE;
    // Who keeps the state elsewhere, by a link, may do so.
    const isOther = !entry.isFile() && !entry.isSymbolicLink();
    if (isOurs && isOther) content.obstacles.push(entry.name);
    if (!entry.isFile()) continue;
    if (kind === "log") content.segments.push(number);
    if (digits !== undefined || otherFiles.has(entry.name)) {
      content.files.push(entry.name);
    }
    const isManifest = entry.name === MANIFEST_FILE;
    if (digits !== undefined || isManifest) content.hasRecords = true;
  }
  content.segments.sort((a, b) => a - b);
  return content;
}

/** Creates a folder with those above it unless it exists. It is durable then. */
export async function createFolder(folder: string): Promise<void> {
  if (await isFolder(folder)) return;
  const first = await mkdir(folder, { recursive: true });
  if (first === undefined) return;
  const top = dirname(resolve(first));
  let path = resolve(folder);
  while (path !== top) {
    path = dirname(path);
    await syncFolder(path);
  }
}

async function isFolder(path: string): Promise<boolean> {
  try {
    return (await stat(path)).isDirectory();
  } catch (err) {
    if ((err as NodeJS.ErrnoException).code === "ENOENT") return false;
    throw err;
  }
}

/** Syncs a folder, so that created, renamed and removed files are durable. */
export async function syncFolder(folder: string): Promise<void> {
  const handle = await open(folder, "r");
  try {
    await handle.sync();
  } finally {
    await handle.close();
  }
}

/** Replaces a file atomically. Resolves once the new content is durable. */
export async function replaceFile(
  folder: string,
  name: string,
  content: string | Buffer,
): Promise<void> {
  const path = join(folder, name);
  const file = await open(path + REPLACEMENT_SUFFIX, "w");
  try {
    await file.writeFile(content);
    await file.sync();
  } finally {
    await file.close();
  }
  await rename(path + REPLACEMENT_SUFFIX, path);
  await syncFolder(folder);
}
