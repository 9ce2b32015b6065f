import { expect } from "earl";
import { spawn } from "node:child_process";
import { closeSync, openSync } from "node:fs";
import process from "node:process";
import { describe, it } from "node:test";
import { fileURLToPath } from "node:url";

const MAIN = fileURLToPath(new URL("../src/main.js", import.meta.url));
const ARGS = [MAIN, "rows", "--help"];

interface Result {
  status: number | null;
  errorText: string;
}

/** Runs a command; without a file descriptor, nobody reads its output. */
function run(outputFd?: number): Promise<Result> {
  const child = spawn(process.execPath, ARGS, {
    stdio: ["ignore", outputFd ?? "pipe", "pipe"],
  });
  child.stdout?.destroy();
  let errorText = "";
  child.stderr?.on("data", (chunk) => errorText += chunk);
  return new Promise((resolve) =>
    child.on("close", (status) => resolve({ status, errorText }))
  );
}

describe("output of a command", () => {
  // Guards against a stack trace in `toucantrestle rows | head -1`.
  it("may have no reader any more", async () => {
    expect(await run()).toEqual({ status: 0, errorText: "" });
  });

  // Guards against a command that seems done although its output is lost.
  it("that cannot be written makes the command fail, in one line", async () => {
    const fd = openSync("/dev/full", "w");
    const { status, errorText } = await run(fd);
    closeSync(fd);
    expect(status).toEqual(1);
    expect(errorText.trim().split("\n").length).toEqual(1);
    expect(errorText.includes("cannot write its output")).toEqual(true);
  });
});
