import { readFile } from "node:fs/promises";
import { join } from "node:path";
import { crc32 } from "node:zlib";
import { replaceFile, STATE_FILE } from "./data_folder.ts";
import { DamagedDiskError, isNotFound } from "./errors.ts";

/** Field that earlier builds neither write nor read. */
const CHECKSUM_FIELD = "checksum";

/**
 * Reads the state file. Returns undefined if it does not exist.
 *
 * @throws {DamagedDiskError} if it is not what was written
 */
export async function readState<T extends object>(
  folder: string,
): Promise<T | undefined> {
  const path = join(folder, STATE_FILE);
  try {
    return parseState(await readFile(path, "utf8")) as T;
  } catch (err) {
    if (isNotFound(err)) return undefined;
    if (err instanceof SyntaxError) {
      throw new DamagedDiskError(`${path} is not JSON: ${err.message}`);
    }
    throw err;
  }
}

/** Replaces the state file atomically. Resolves once the new one is durable. */
export async function writeState<T extends object>(
  folder: string,
  state: T,
): Promise<void> {
  const checksum = crc32(JSON.stringify(state));
  const content = JSON.stringify({ ...state, [CHECKSUM_FIELD]: checksum });
  await replaceFile(folder, STATE_FILE, content);
}

function parseState(text: string): object {
  const value: unknown = JSON.parse(text);
  if (typeof value !== "object" || value === null || Array.isArray(value)) {
    throw new DamagedDiskError(`${STATE_FILE} is not an object`);
  }
  const { [CHECKSUM_FIELD]: checksum, ...state } = value as Record<
    string,
    unknown
  >;
  if (checksum === undefined) return state;
  if (checksum !== crc32(JSON.stringify(state))) {
    throw new DamagedDiskError(`${STATE_FILE} does not match its checksum`);
  }
  return state;
}
