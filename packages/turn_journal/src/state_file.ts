import { open, readFile, rename } from "node:fs/promises";
import { join } from "node:path";
import { syncFolder } from "./journal.ts";

const STATE_FILE_NAME = "state.json";

/** Reads the state file. Returns undefined if it does not exist. */
export async function readState<T>(folder: string): Promise<T | undefined> {
  try {
    return JSON.parse(
      await readFile(join(folder, STATE_FILE_NAME), "utf8"),
    ) as T;
  } catch (err) {
    if ((err as NodeJS.ErrnoException).code === "ENOENT") return undefined;
    throw err;
  }
}

/** Replaces the state file atomically. Resolves once the new one is durable. */
export async function writeState<T>(folder: string, state: T): Promise<void> {
  const path = join(folder, STATE_FILE_NAME);
  const file = await open(`${path}.new`, "w");
  try {
    await file.writeFile(JSON.stringify(state));
    await file.sync();
  } finally {
    await file.close();
  }
  await rename(`${path}.new`, path);
  await syncFolder(folder);
}
