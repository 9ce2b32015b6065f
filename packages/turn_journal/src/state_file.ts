import { open, readFile, rename } from "node:fs/promises";
import { join } from "node:path";
import { syncFolder } from "./journal.ts";

const STATE_NAME = "state.json";

/** Reads the state file; undefined where there is none. */
export async function readState<T>(folder: string): Promise<T | undefined> {
  try {
    return JSON.parse(await readFile(join(folder, STATE_NAME), "utf8")) as T;
  } catch (err) {
    if ((err as NodeJS.ErrnoException).code === "ENOENT") return undefined;
    throw err;
  }
}

/** Replaces the state file; resolves once the new one is durable. */
export async function writeState<T>(folder: string, state: T): Promise<void> {
  const path = join(folder, STATE_NAME);
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
