import { expect } from "earl";
import fc from "fast-check";
import {
  cpSync,
  mkdtempSync,
  readdirSync,
  readFileSync,
  rmSync,
  writeFileSync,
} from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { after, before, describe, it } from "node:test";
import { openDisk, readAll, timer, writeFolder } from "./disk_fixture.ts";

const DAMAGE_RUNS = 250;

let folder: string;

before(() => {
  folder = mkdtempSync(join(tmpdir(), "disk-"));
});

after(() => {
  rmSync(folder, { recursive: true });
  timer.end();
});

/** What replaces a part of a file. */
const REPLACEMENTS = {
  cut: (bytes, { at }) => bytes.subarray(0, at),
  zeros: (bytes, { at, length }) => overwrite(bytes, { at, length, with: 0 }),
  noise: (bytes, { at, length, noise }) =>
    overwrite(bytes, { at, length, with: noise }),
  appended: (bytes, { noise }) => Buffer.concat([bytes, noise]),
} as const satisfies Record<string, (bytes: Buffer, part: Part) => Buffer>;

function overwrite(
  bytes: Buffer,
  opts: { at: number; length: number; with: Buffer | 0 },
): Buffer {
  const end = Math.min(bytes.length, opts.at + opts.length);
  return Buffer.from(bytes).fill(opts.with, opts.at, end);
}

interface Part {
  /** Byte at which the damage begins. */
  at: number;
  length: number;
  noise: Buffer;
}

interface Damage {
  kind: keyof typeof REPLACEMENTS;
  /** Which of the files, and where in it, in thousandths. */
  file: number;
  at: number;
  length: number;
  noise: Uint8Array;
}

const DAMAGE = fc.record<Damage>({
  kind: fc.constantFrom("cut", "zeros", "noise", "appended"),
  file: fc.nat({ max: 999 }),
  at: fc.nat({ max: 999 }),
  length: fc.nat({ max: 999 }),
  noise: fc.uint8Array({ minLength: 1, maxLength: 64 }),
});

function fraction(thousandths: number, whole: number): number {
  return Math.floor(thousandths * whole / 1_000);
}

function damageFile(path: string, damage: Damage): void {
  const names = readdirSync(path).sort();
  const name = names[fraction(damage.file, names.length)] as string;
  const bytes = readFileSync(join(path, name));
  const part = {
    at: fraction(damage.at, bytes.length),
    length: fraction(damage.length, bytes.length),
    noise: Buffer.from(damage.noise),
  };
  const result = REPLACEMENTS[damage.kind](bytes, part);
  writeFileSync(join(path, name), result);
}

describe("disk of a turn store whose files are damaged", () => {
  // Guards against a part of the records that is taken for the whole.
  it("has all that was synced, or is set aside, after any damage", async () => {
    const original = join(folder, "original");
    const ids = (await writeFolder(original)).sort();
    const { id } = JSON.parse(
      readFileSync(join(original, "state.json"), "utf8"),
    );
    const outcomes = { whole: 0, setAside: 0, foundLater: 0 };
    await fc.assert(
      fc.asyncProperty(
        fc.array(DAMAGE, { minLength: 1, maxLength: 3 }),
        async (damages) => {
          const copy = join(folder, "copy");
          rmSync(copy, { recursive: true, force: true });
          cpSync(original, copy, { recursive: true });
          for (const it of damages) damageFile(copy, it);
          const disk = await openDisk(copy);
          const found = readAll(disk);
          if (disk.id !== id) {
            outcomes.setAside += 1;
            expect([found, disk.isReplacement]).toEqual([[], true]);
          } else if (found === undefined) {
            outcomes.foundLater += 1;
          } else {
            outcomes.whole += 1;
            expect(found).toEqual(ids);
          }
          await disk.close();
        },
      ),
      { numRuns: DAMAGE_RUNS },
    );
    for (const count of Object.values(outcomes)) {
      expect(count > 0).toEqual(true);
    }
  });
});
