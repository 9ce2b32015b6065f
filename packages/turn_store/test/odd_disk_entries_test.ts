import { expect } from "earl";
import { execFileSync } from "node:child_process";
import {
  existsSync,
  mkdirSync,
  mkdtempSync,
  readFileSync,
  rmSync,
  writeFileSync,
} from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { after, afterEach, beforeEach, describe, it } from "node:test";
import { setTimeout as delay } from "node:timers/promises";
import type { StoreDisk } from "../src/mod.ts";
import { openDisk, readAll, timer, writeFolder } from "./disk_fixture.ts";

const OPEN_TIMEOUT_MS = 3_000;
/** Names of files, one of each kind. */
const NAMES = ["state.json", "manifest", "00000001.sum"];

/** What has the name of a file. */
const ENTRIES: Record<string, (path: string) => void> = {
  "an empty folder": (path) => mkdirSync(path),
  "a folder with a file": (path) => {
    mkdirSync(path);
    writeFileSync(join(path, "notes"), "not ours");
  },
  "a pipe": (path) => void execFileSync("mkfifo", [path]),
};

describe("disk of a turn store", () => {
  let folder: string;
  let opened: StoreDisk | undefined;

  beforeEach(async () => {
    folder = mkdtempSync(join(tmpdir(), "disk-"));
    await writeFolder(folder);
  });

  afterEach(async () => {
    await opened?.close();
    opened = undefined;
    rmSync(folder, { recursive: true });
  });

  after(() => timer.end());

  // Guards against a store that ends at each start (status 4), or whose start
  // does not return.
  for (const name of NAMES) {
    for (const [what, create] of Object.entries(ENTRIES)) {
      it(`with ${what} named ${name} is set aside`, async () => {
        const { id } = JSON.parse(
          readFileSync(join(folder, "state.json"), "utf8"),
        );
        rmSync(join(folder, name), { force: true });
        create(join(folder, name));
        const late = delay(OPEN_TIMEOUT_MS, undefined, { ref: false });
        opened = await Promise.race([openDisk(folder), late]);
        const found = opened && readAll(opened);
        expect(found).toEqual([]);
        expect([opened?.isReplacement, opened?.id === id])
          .toEqual([true, false]);
        expect(existsSync(join(folder, "damaged", name))).toEqual(true);
      });
    }
  }
});
