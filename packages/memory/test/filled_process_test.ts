import { expect } from "earl";
import { spawnSync } from "node:child_process";
import process from "node:process";
import { describe, it } from "node:test";
import { fileURLToPath } from "node:url";

const PROGRAM = fileURLToPath(new URL("./filled_process.js", import.meta.url));
const FLAGS = ["--max-old-space-size=110", "--max-semi-space-size=2"];
const TIMEOUT_MS = 30_000;

describe("a process that one peer fills", () => {
  // Guards against SIGABRT ("heap out of memory") within seconds.
  it("cuts that peer again and again, nobody else, and goes on", () => {
    const { status, signal, stdout } = spawnSync(
      process.execPath,
      [...FLAGS, PROGRAM],
      { encoding: "utf8", timeout: TIMEOUT_MS },
    );
    expect([status, signal]).toEqual([0, null]);
    const cut = JSON.parse(stdout) as { senders: number; others: number };
    expect(cut.others).toEqual(0);
    expect(cut.senders > 0).toEqual(true);
  });
});
