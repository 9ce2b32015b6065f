import { createManualTimer } from "@toucantrestle/timer";
import { DamagedFrameError } from "@toucantrestle/turn_journal";
import { expect } from "earl";
import { describe, it } from "node:test";
import { ReadFailures } from "../src/read_failures.ts";

function createFailures() {
  const timer = createManualTimer();
  const failures = new ReadFailures(timer);
  const damages: string[] = [];
  failures.onDamage((it) => damages.push(it.message));
  return { timer, failures, damages };
}

function createError(code: string): Error {
  return Object.assign(new Error(`${code}: read`), { code });
}

describe("failures to read records", () => {
  it("are damage at once if a record is corrupt or missing", () => {
    for (const err of [new DamagedFrameError("bad"), createError("ENOENT")]) {
      const { failures, damages } = createFailures();
      failures.record(err);
      failures.record(err);
      expect(damages).toEqual([err.message]);
    }
  });

  // Guards against records of a sound disk that are given up.
  it("are none while they may pass", () => {
    const { timer, failures, damages } = createFailures();
    for (let i = 0; i < 10; i++) {
      failures.record(createError("EIO"));
      timer.advance(20_000);
    }
    expect(damages).toEqual([]);
  });

  it("are damage if they go on for a minute", () => {
    const { timer, failures, damages } = createFailures();
    for (let ms = 0; ms <= 60_000; ms += 5_000) {
      expect(damages).toEqual([]);
      failures.record(createError("EIO"));
      timer.advance(5_000);
    }
    expect(damages).toEqual(["records stay unreadable: EIO: read"]);
  });

  // Guards against a sound disk that is set aside while the process, or all of
  // its host, has no descriptors or no memory left.
  it("are none if they say nothing of the disk", () => {
    for (const code of ["EMFILE", "ENFILE", "ENOMEM", "EAGAIN"]) {
      const { timer, failures, damages } = createFailures();
      for (let ms = 0; ms <= 120_000; ms += 5_000) {
        failures.record(createError(code));
        timer.advance(5_000);
      }
      expect(damages).toEqual([]);
    }
  });
});
