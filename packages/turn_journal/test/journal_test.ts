import { createNoopLoggers } from "@toucantrestle/log";
import { expect } from "earl";
import {
  appendFile,
  copyFile,
  mkdir,
  mkdtemp,
  readdir,
  readFile,
  rm,
  stat,
  symlink,
  truncate,
  writeFile,
} from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { afterEach, beforeEach, describe, it } from "node:test";
import {
  DamagedFrameError,
  type Frame,
  type FrameMetadata,
  Journal,
  JournalFullError,
  readState,
  SET_ASIDE_FOLDER,
  setAside,
  writeState,
} from "../src/mod.ts";

interface Entry {
  name: string;
  expiresAt: number;
}

let folder = "";
const openJournals = new Set<Journal<Entry>>();

beforeEach(async () => {
  folder = await mkdtemp(join(tmpdir(), "journal-"));
});

afterEach(async () => {
  for (const journal of openJournals) await journal.close();
  openJournals.clear();
  await rm(folder, { recursive: true });
});

function createJournal(maxBytes = 1_000_000): Journal<Entry> {
  const journal = new Journal<Entry>({
    folder,
    maxBytes,
    segmentBytes: 5_000,
    metadataOf: (it) => ({ key: it.name, expiresAt: it.expiresAt }),
    log: createNoopLoggers()("journal"),
  });
  openJournals.add(journal);
  return journal;
}

async function openJournal(maxBytes = 1_000_000) {
  const journal = createJournal(maxBytes);
  const loaded: string[] = [];
  await journal.load((it) => loaded.push(it.read().name));
  return { journal, loaded };
}

function createEntry(name: string, expiresAt = 1_000): Entry {
  return { name, expiresAt };
}

describe("a journal", () => {
  it("loads acknowledged records in the order of the appends", async () => {
    const first = await openJournal();
    await Promise.all(
      ["a", "b", "c"].map((it) => first.journal.append(createEntry(it))),
    );
    const second = await openJournal();
    await second.journal.append(createEntry("d"));
    expect((await openJournal()).loaded).toEqual(["a", "b", "c", "d"]);
  });

  it("provides key and expiry without decoding the record", async () => {
    const first = await openJournal();
    await first.journal.append(createEntry("ä", 7_000));
    const journal = createJournal();
    const metadata: FrameMetadata[] = [];
    await journal.load(({ key, expiresAt }) =>
      metadata.push({ key, expiresAt })
    );
    expect(metadata).toEqual([{ key: "ä", expiresAt: 7_000 }]);
  });

  it("covers concurrent appends with a single sync", async () => {
    const { journal } = await openJournal();
    const names = Array.from({ length: 50 }, (_, i) => `e${i}`);
    await Promise.all(names.map((it) => journal.append(createEntry(it))));
    expect(journal.syncCount <= 2).toEqual(true);
  });

  it("drops an incomplete frame and keeps the records before it", async () => {
    const { journal } = await openJournal();
    await journal.append(createEntry("a"));
    await journal.append(createEntry("b"));
    const [name] = await readdir(folder);
    const path = join(folder, name ?? "");
    await truncate(path, (await stat(path)).size - 3);
    expect((await openJournal()).loaded).toEqual(["a"]);
  });

  it("stops loading at bytes that are not a valid frame", async () => {
    const { journal } = await openJournal();
    await journal.append(createEntry("a"));
    const [name] = await readdir(folder);
    await appendFile(join(folder, name ?? ""), Buffer.alloc(64));
    expect((await openJournal()).loaded).toEqual(["a"]);
  });

  it("rejects a record over the size limit and accepts the next", async () => {
    const { journal } = await openJournal(200);
    await journal.append(createEntry("a"));
    const big = createEntry("x".repeat(500));
    await expect(journal.append(big)).toBeRejectedWith(JournalFullError);
    await journal.append(createEntry("b"));
    expect((await openJournal()).loaded).toEqual(["a", "b"]);
  });

  it("removes segments whose records have all expired", async () => {
    const first = await openJournal();
    await first.journal.append(createEntry("a", 1_000));
    const second = await openJournal();
    await second.journal.append(createEntry("b", 9_000));
    await second.journal.sweep(5_000);
    expect((await openJournal()).loaded).toEqual(["b"]);
  });
});

describe("a journal with several segments", () => {
  const longName = "x".repeat(3_000);

  /** Writes several segments with small and large records. */
  async function writeSegments(): Promise<string[]> {
    const { journal } = await openJournal();
    const names = Array.from(
      { length: 30 },
      (_, i) => i % 3 === 0 ? `${i}${longName}` : `${i}`,
    );
    for (const name of names) await journal.append(createEntry(name));
    await journal.close();
    await waitForFiles(".sum", 2);
    return names.toSorted();
  }

  async function waitForFiles(
    suffix: string,
    minCount: number,
  ): Promise<string[]> {
    for (let i = 0; i < 200; i++) {
      const names = await readdir(folder);
      const found = names.filter((it) => it.endsWith(suffix)).sort();
      if (found.length >= minCount) return found;
      await new Promise((resolve) => setTimeout(resolve, 10));
    }
    throw new Error(
      `timed out waiting for ${minCount} files with suffix ${suffix}`,
    );
  }

  async function loadSortedNames(): Promise<string[]> {
    return (await openJournal()).loaded.toSorted();
  }

  it("loads all records with the help of summaries", async () => {
    const names = await writeSegments();
    expect(await loadSortedNames()).toEqual(names);
  });

  it("loads all records if a summary is missing or truncated", async () => {
    const names = await writeSegments();
    const [first = "", second = ""] = await waitForFiles(".sum", 2);
    await rm(join(folder, first));
    await truncate(join(folder, second), 20);
    expect(await loadSortedNames()).toEqual(names);
  });

  it("ignores a summary that does not match the segment size", async () => {
    const names = await writeSegments();
    const [first = "", second = ""] = await waitForFiles(".sum", 2);
    await copyFile(join(folder, second), join(folder, first));
    expect(await loadSortedNames()).toEqual(names);
  });

  it("detects a large record that was corrupted on disk", async () => {
    await writeSegments();
    const [first = ""] = await waitForFiles(".log", 2);
    const path = join(folder, first);
    const bytes = await readFile(path);
    bytes.fill(0, 200, 400);
    await writeFile(path, bytes);
    const frames: Frame<Entry>[] = [];
    await createJournal().load((it) => frames.push(it));
    const damaged = frames.filter((it) => {
      try {
        it.read();
        return false;
      } catch (err) {
        return err instanceof DamagedFrameError;
      }
    });
    expect(damaged.length).toEqual(1);
  });
});

describe("the state file", () => {
  it("is absent at first and replaced as a unit", async () => {
    expect(await readState(folder)).toEqual(undefined);
    await writeState(folder, { id: "x" });
    await writeState(folder, { id: "y" });
    expect(await readState<{ id: string }>(folder)).toEqual({ id: "y" });
  });
});

// Guards against two processes that write to the same segment.
describe("a closed journal", () => {
  it("rejects further records and writes no segment", async () => {
    const { journal } = await openJournal();
    await journal.append({ name: "a", expiresAt: 1 });
    await journal.close();
    const names = await readdir(folder);
    await expect(journal.append({ name: "b", expiresAt: 1 }))
      .toBeRejectedWith("the journal is closed");
    expect(await readdir(folder)).toEqual(names);
  });
});

const SEGMENT_BYTES = 5_000;
const FAILED_WRITES = 10;

/** Returns the name of a segment. */
function segmentName(number: number): string {
  return `${String(number).padStart(8, "0")}.log`;
}

/** Makes all writes to the segments from `first` to `last` fail with ENOSPC. */
async function fillDisk(first: number, last: number): Promise<void> {
  for (let number = first; number <= last; number++) {
    await symlink("/dev/full", join(folder, segmentName(number)));
  }
}

describe("a journal on a full disk", () => {
  // Guards against a file and a segment that stay after each failed write.
  it("keeps no segment in which nothing was written", async () => {
    const { journal } = await openJournal();
    await fillDisk(2, 1 + FAILED_WRITES);
    await journal.append(createEntry("a".repeat(SEGMENT_BYTES)));
    for (let i = 0; i < FAILED_WRITES; i++) {
      await expect(journal.append(createEntry("b")))
        .toBeRejectedWith(/ENOSPC/);
    }
    await journal.append(createEntry("c"));
    await journal.close();
    const names = (await readdir(folder)).filter((it) => it.endsWith(".log"));
    expect(names.sort()).toEqual(
      [1, 2 + FAILED_WRITES].map((it) => segmentName(it)),
    );
    const { loaded } = await openJournal();
    expect(loaded.map((it) => it[0])).toEqual(["a", "c"]);
  });
});

describe("a folder without files that is set aside", () => {
  // Guards against damaged files that are deleted in place of no others.
  it("keeps what was set aside before", async () => {
    const earlier = join(folder, SET_ASIDE_FOLDER);
    await mkdir(earlier);
    await writeFile(join(earlier, segmentName(1)), "records");
    const log = createNoopLoggers()("journal");
    await setAside(folder, { maxBytes: 1_000, log });
    expect(await readdir(earlier)).toEqual([segmentName(1)]);
  });
});
