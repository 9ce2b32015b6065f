import type { Logger } from "@toucantrestle/log";
import { mkdir, readdir, rename, rm, stat } from "node:fs/promises";
import { join } from "node:path";
import { listFolder, STATE_FILE, syncFolder } from "./data_folder.ts";
import { isNotFound } from "./errors.ts";

/** Name of the folder, in the data folder, that holds damaged files. */
export const SET_ASIDE_FOLDER = "damaged";

/** Options of `setAside`. */
export interface SetAsideOptions {
  /** Bytes that files may occupy which were set aside; others are deleted. */
  maxBytes: number;
  log: Logger;
}

/**
 * Moves the files of the journal and of the state, and what has their names, into
 * a folder of their own, for an operator to look at, and deletes what was there. They are deleted if
 * they are too large or cannot be moved. Files of others stay.
 *
 * The state goes first: a folder that is found with records and no state is set
 * aside again, so that a part of the files is never taken for the whole. What a
 * process before has moved that was killed meanwhile is kept.
 */
export async function setAside(
  folder: string,
  { maxBytes, log }: SetAsideOptions,
): Promise<void> {
  const content = await listFolder(folder);
  const files = [...content.files, ...content.obstacles];
  const target = join(folder, SET_ASIDE_FOLDER);
  const begun = await listBegun(folder, files);
  const bytes = await totalSize(folder, files) + await totalSize(target, begun);
  const isKept = files.length > 0 && bytes <= maxBytes &&
    (begun.length > 0 || await tryEmpty(target, log));
  const isReplaced = !isKept && files.length > 0;
  if (isReplaced) await rm(target, { recursive: true, force: true });
  const names = files.toSorted((a, b) =>
    Number(b === STATE_FILE) - Number(a === STATE_FILE)
  );
  for (const name of names) {
    if (!isKept || !await tryMove(folder, name, log)) {
      await rm(join(folder, name), { force: true, recursive: true });
    }
    if (name === STATE_FILE) await syncFolder(folder);
  }
  await syncFolder(folder);
  const what = isKept ? `moved to ${target}` : "deleted";
  log.error(`set the disk aside: ${what} ${files.length} files`, {
    event: "disk_set_aside",
    files: files.length,
    bytes,
    maxBytes,
    isKept,
  });
}

/**
 * Returns the files that a call before has set aside which ended halfway, as in
 * a kill: the state is among them and no longer in the folder. None if what was
 * set aside is of an earlier time.
 */
async function listBegun(folder: string, files: string[]): Promise<string[]> {
  if (files.includes(STATE_FILE) || !await hasSetAside(folder)) return [];
  const moved = await readdir(join(folder, SET_ASIDE_FOLDER));
  const isOfThese = moved.includes(STATE_FILE) &&
    !files.some((it) => moved.includes(it));
  return isOfThese ? moved : [];
}

/** Deletes files that were set aside. Returns whether there were any. */
export async function deleteSetAside(folder: string): Promise<boolean> {
  const target = join(folder, SET_ASIDE_FOLDER);
  if (!await hasSetAside(folder)) return false;
  await rm(target, { recursive: true, force: true });
  return true;
}

/** Returns whether the files of a damaged disk have been set aside. */
export async function hasSetAside(folder: string): Promise<boolean> {
  try {
    return (await stat(join(folder, SET_ASIDE_FOLDER))).isDirectory();
  } catch (err) {
    if (isNotFound(err)) return false;
    throw err;
  }
}

async function totalSize(folder: string, names: string[]): Promise<number> {
  let bytes = 0;
  for (const name of names) bytes += (await stat(join(folder, name))).size;
  return bytes;
}

/** Makes an empty folder. Returns false if that is not possible. */
async function tryEmpty(path: string, log: Logger): Promise<boolean> {
  try {
    await rm(path, { recursive: true, force: true });
    await mkdir(path);
    return true;
  } catch (err) {
    log.warn(`cannot create ${path}: ${String(err)}`);
    return false;
  }
}

/** Moves a file. Returns false if that is not possible. */
async function tryMove(
  folder: string,
  name: string,
  log: Logger,
): Promise<boolean> {
  try {
    await rename(join(folder, name), join(folder, SET_ASIDE_FOLDER, name));
    return true;
  } catch (err) {
    log.warn(`cannot set ${name} aside: ${String(err)}`);
    return false;
  }
}
