import {
  encodeFrame,
  listFolder,
  SET_ASIDE_FOLDER,
} from "@toucantrestle/turn_journal";
import { expect } from "earl";
import {
  existsSync,
  mkdirSync,
  mkdtempSync,
  readdirSync,
  readFileSync,
  renameSync,
  rmSync,
  statSync,
  writeFileSync,
} from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { after, afterEach, beforeEach, describe, it } from "node:test";
import type { StoreDisk } from "../src/mod.ts";
import {
  appendTurns,
  createTurn,
  openDisk,
  readAll,
  RECORDS_PER_LIFE,
  timer,
  writeFolder,
} from "./disk_fixture.ts";

let folder: string;
let disks: StoreDisk[] = [];

beforeEach(() => {
  folder = mkdtempSync(join(tmpdir(), "disk-"));
});

afterEach(async () => {
  for (const it of disks) await it.close();
  disks = [];
  rmSync(folder, { recursive: true });
});

after(() => timer.end());

async function open(
  path = folder,
  opts: { maxSetAsideBytes?: number } = {},
): Promise<StoreDisk> {
  const disk = await openDisk(path, opts);
  disks.push(disk);
  return disk;
}

describe("disk of a turn store", () => {
  // Guards against a loss of power that is taken for damage.
  it("is kept if only what was never synced is torn", async () => {
    const first = await open();
    const ids = await appendTurns(first, 1);
    await first.stop();
    const second = await open();
    await second.journal.append(createTurn("torn", 0));
    await second.close();
    const log = readdirSync(folder).filter((it) => it.endsWith(".log")).sort()
      .at(-1) as string;
    const bytes = readFileSync(join(folder, log));
    writeFileSync(join(folder, log), bytes.subarray(0, bytes.length - 7));
    const third = await open();
    expect([third.id, readAll(third)]).toEqual([first.id, ids.sort()]);
  });

  // Guards against what a process left unsynced and the next one relies on.
  it("knows after a kill what the process before had written", async () => {
    const first = await open();
    await appendTurns(first, 1);
    await first.close();
    const second = await open();
    await second.close();
    for (const it of readdirSync(folder)) {
      const path = join(folder, it);
      const isRecords = it.endsWith(".log") && statSync(path).size > 0;
      if (isRecords) writeFileSync(path, readFileSync(path).subarray(0, 100));
    }
    expect((await open()).id === first.id).toEqual(false);
  });

  for (
    const [name, text] of [
      ["null", "null"],
      ["a list", "[]"],
      ["a number", "7"],
      ["without an id", "{}"],
      ["an id that is no text", `{"id":7}`],
      ["an empty id", `{"id":""}`],
      ["a view with missing fields", `{"id":"a","view":{"number":3}}`],
      ["a base that is no view", `{"id":"a","base":[]}`],
      ["not JSON", `{"id":"a"`],
      ["empty", ""],
      ["a wrong checksum", `{"id":"a","checksum":1}`],
    ] as const
  ) {
    // Guards against a store that ends at each start because of its state file.
    it(`is set aside if its state is ${name}`, async () => {
      const ids = await writeFolder(folder);
      writeFileSync(join(folder, "state.json"), text);
      const disk = await open();
      expect([disk.isReplacement, readAll(disk)]).toEqual([true, []]);
      expect(disk.id.length > 10).toEqual(true);
      await disk.close();
      const aside = readdirSync(join(folder, SET_ASIDE_FOLDER));
      expect(aside.includes("00000001.log")).toEqual(true);
      expect(ids.length).toEqual(3 * RECORDS_PER_LIFE);
    });
  }

  it("is set aside if the state is missing beside records", async () => {
    await writeFolder(folder);
    rmSync(join(folder, "state.json"));
    expect((await open()).isReplacement).toEqual(true);
  });

  // Guards against files that are left when a disk is set aside halfway.
  it("is set aside once more after a kill while it is", async () => {
    await writeFolder(folder);
    rmSync(join(folder, "state.json"));
    rmSync(join(folder, "00000001.log"));
    rmSync(join(folder, "manifest"));
    const disk = await open();
    expect([disk.isReplacement, readAll(disk)]).toEqual([true, []]);
  });

  // Guards against files that are deleted because a set-aside was interrupted.
  it("keeps what a process had set aside that was killed meanwhile", async () => {
    await writeFolder(folder);
    const target = join(folder, SET_ASIDE_FOLDER);
    const names = readdirSync(folder);
    mkdirSync(target);
    for (const name of ["state.json", "00000001.log"]) {
      renameSync(join(folder, name), join(target, name));
    }
    const disk = await open();
    expect([disk.isReplacement, readAll(disk)]).toEqual([true, []]);
    expect(readdirSync(target).sort()).toEqual(names.sort());
  });

  it("keeps one set of damaged files, of a bounded size", async () => {
    for (let i = 0; i < 3; i++) {
      await writeFolder(folder);
      writeFileSync(join(folder, "state.json"), "damaged");
      await (await open()).close();
    }
    const names = readdirSync(join(folder, SET_ASIDE_FOLDER));
    expect(names.filter((it) => it === "00000001.log").length).toEqual(1);
    await writeFolder(folder);
    writeFileSync(join(folder, "state.json"), "damaged");
    const disk = await open(folder, { maxSetAsideBytes: 100 });
    expect(disk.isReplacement).toEqual(true);
    expect(existsSync(join(folder, SET_ASIDE_FOLDER))).toEqual(false);
  });

  it("starts although a state file was left half written", async () => {
    writeFileSync(join(folder, "state.json.new"), `{"id":`);
    const disk = await open();
    expect(disk.isReplacement).toEqual(false);
    const ids = await appendTurns(disk, 1);
    await disk.close();
    writeFileSync(join(folder, "state.json.new"), `{"id":`);
    const next = await open();
    expect([next.id, readAll(next)]).toEqual([disk.id, ids.sort()]);
  });

  // Guards against an end because the folder is of use only a little later.
  it("is awaited while its folder cannot be used", async () => {
    const path = join(folder, "data", "turns");
    writeFileSync(join(folder, "data"), "in the way of the folder");
    const opening = open(path);
    timer.after(600, () => rmSync(join(folder, "data")));
    expect((await opening).isReplacement).toEqual(false);
  });

  // Guards against an end because the state cannot be written at first.
  it("is awaited while its state cannot be written", async () => {
    const obstacle = join(folder, "state.json.new");
    mkdirSync(obstacle);
    const opening = open();
    timer.after(600, () => rmSync(obstacle, { recursive: true }));
    const disk = await opening;
    expect([disk.isReplacement, readAll(disk)]).toEqual([false, []]);
  });

  // Guards against a store that takes the files of another for its own.
  it("leaves files and folders of others alone", async () => {
    const first = await open();
    const ids = await appendTurns(first, 1);
    await first.stop();
    const files = ["0000000000000099.log", "99.log", "notes.sum", "a.log"];
    for (const it of files) writeFileSync(join(folder, it), "not ours");
    const folders = ["00000050.log", "lost+found", "b.log"];
    for (const it of folders) mkdirSync(join(folder, it));
    const second = await open();
    expect([second.id, readAll(second)]).toEqual([first.id, ids.sort()]);
    await second.close();
    const { segments } = await listFolder(folder);
    expect(Math.max(...segments) < 50).toEqual(true);
    writeFileSync(join(folder, "state.json"), "damaged");
    await open();
    const names = readdirSync(folder);
    for (const it of [...files, ...folders]) {
      expect([it, names.includes(it)]).toEqual([it, true]);
    }
  });

  // Guards against segments whose names no later start recognises.
  it("begins again with the numbers of segments after the last one", async () => {
    writeFileSync(join(folder, "state.json"), `{"id":"a"}`);
    writeFileSync(join(folder, "99999999.log"), "");
    const first = await open();
    const ids = await appendTurns(first, 1);
    await first.stop();
    const second = await open();
    expect([second.id, readAll(second)]).toEqual(["a", ids.sort()]);
  });

  // Guards against an installation of the earlier build that costs the disk.
  it("is kept after an earlier build has used it", async () => {
    const first = await open();
    const short = createTurn("short", 1);
    await first.journal.append({ ...short, expiresAt: timer.now() + 1 });
    await first.stop();
    const second = await open();
    const ids = await appendTurns(second, 2);
    await second.stop();
    // An earlier build knows neither the manifest nor the checksum.
    rmSync(join(folder, "00000001.log"));
    writeFileSync(join(folder, "state.json"), `{"id":"${first.id}"}`);
    const turn = createTurn("later", 1);
    const { expiresAt } = turn;
    const frame = encodeFrame({ key: "turn/later", expiresAt }, turn);
    writeFileSync(join(folder, "00000090.log"), frame);
    const third = await open();
    expect([third.id, readAll(third)]).toEqual([
      first.id,
      [...ids, "later"].sort(),
    ]);
  });

  it("of an earlier build is set aside if a summary tells of more", async () => {
    await writeFolder(folder);
    rmSync(join(folder, "manifest"));
    const [summary = ""] = readdirSync(folder).filter((it) =>
      it.endsWith(".sum")
    );
    const path = join(folder, summary.replace(".sum", ".log"));
    writeFileSync(path, readFileSync(path).subarray(0, 3_000));
    expect((await open()).isReplacement).toEqual(true);
  });

  // Guards against a manifest that costs a sync at each record.
  it("writes down what was synced only in a sweep or a new segment", async () => {
    const disk = await open();
    const path = join(folder, "manifest");
    await disk.journal.append(createTurn("a", 1));
    const before = readFileSync(path);
    await disk.journal.append(createTurn("b", 1));
    expect(readFileSync(path)).toEqual(before);
    await disk.journal.sweep(timer.now());
    const swept = statSync(path).mtimeMs;
    expect(readFileSync(path).equals(before)).toEqual(false);
    await disk.journal.sweep(timer.now());
    expect(statSync(path).mtimeMs).toEqual(swept);
  });

  // Guards against a store that goes on writing to files that are deleted.
  it("is damaged if its folder is deleted while it is in use", async () => {
    const path = join(folder, "data");
    const disk = await open(path);
    const damages: string[] = [];
    disk.onDamage((it) => damages.push(it.name));
    rmSync(path, { recursive: true });
    await disk.journal.append(createTurn("a", 1));
    await disk.journal.sweep(timer.now());
    expect(damages).toEqual(["DamagedDiskError"]);
  });
});
