import { startProcess } from "@toucantrestle/stand_ins";
import { expect } from "earl";
import { mkdtemp, rm, writeFile } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { describe, it } from "node:test";

describe("startProcess", () => {
  it("does not report a process as running after it was killed", async () => {
    const folder = await mkdtemp(join(tmpdir(), "process-"));
    const script = join(folder, "wait.mjs");
    await writeFile(script, "setInterval(() => {}, 1000);\n");
    const child = startProcess({
      name: "wait",
      script,
      args: [],
      logFile: undefined,
    });
    expect(child.isRunning).toEqual(true);
    child.signal("SIGKILL");
    expect(child.isRunning).toEqual(false);
    await child.exited;
    await rm(folder, { recursive: true });
  });
});
