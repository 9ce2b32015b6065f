import { createNoopLoggers } from "@toucantrestle/log";
import type { TimelineEvent } from "@toucantrestle/timeline";
import { createManualTimer } from "@toucantrestle/timer";
import { expect } from "earl";
import {
  existsSync,
  mkdirSync,
  mkdtempSync,
  readFileSync,
  rmSync,
  symlinkSync,
  writeFileSync,
} from "node:fs";
import { tmpdir } from "node:os";
import { dirname, join } from "node:path";
import { after, describe, it } from "node:test";
import { setTimeout as delay } from "node:timers/promises";
import { TimelineFile } from "../src/timeline_file.ts";

const POLL_MS = 5;
const WAIT_MS = 5_000;
/** Longer than until a file that failed is opened again. */
const REOPEN_MS = 20_000;

const folder = mkdtempSync(join(tmpdir(), "timeline-"));
let fileCount = 0;

after(() => rmSync(folder, { recursive: true }));

function createEvent(kind: string): TimelineEvent {
  return { stamp: { ms: 1, count: 0 }, host: "a", part: "call", kind };
}

/** Creates a timeline file in a folder that does not exist yet. */
function createFile() {
  const path = join(folder, `data${fileCount++}`, "timeline.jsonl");
  const timer = createManualTimer();
  const lines: string[] = [];
  const log = {
    ...createNoopLoggers()("timeline"),
    warn: (line: string) => {
      lines.push(line);
    },
  };
  return { path, timer, lines, file: new TimelineFile({ path, timer, log }) };
}

async function until(condition: () => boolean): Promise<void> {
  const deadline = performance.now() + WAIT_MS;
  while (!condition() && performance.now() < deadline) await delay(POLL_MS);
  expect(condition()).toEqual(true);
}

function readText(path: string): string {
  return existsSync(path) ? readFileSync(path, "utf8") : "";
}

describe("file of timeline events", () => {
  // Guards against a daemon that ends because its data folder is missing.
  it("is written as soon as its folder can be created", async () => {
    const { path, file, timer, lines } = createFile();
    writeFileSync(dirname(path), "");
    file.append(createEvent("first"));
    expect(lines.length).toEqual(1);
    rmSync(dirname(path));
    timer.advance(REOPEN_MS);
    file.append(createEvent("second"));
    await until(() => readText(path).includes("second"));
    expect(file.droppedCount).toEqual(1);
  });

  // Guards against a file that stays unwritten after its disk was full.
  it("is written again after its disk was full", async () => {
    const { path, file, timer, lines } = createFile();
    mkdirSync(dirname(path));
    symlinkSync("/dev/full", path);
    file.append(createEvent("first"));
    await until(() => lines.length === 1);
    expect(lines[0]?.includes("ENOSPC")).toEqual(true);
    rmSync(path);
    timer.advance(REOPEN_MS);
    file.append(createEvent("second"));
    await until(() => readText(path).includes("second"));
    expect(file.droppedCount).toEqual(1);
  });
});
