import { expect } from "earl";
import { spawn, spawnSync } from "node:child_process";
import process from "node:process";
import { describe, it } from "node:test";
import { EXIT_RULES, type ExitReason } from "../src/mod.ts";

const MOD_URL = new URL("../src/mod.js", import.meta.url).href;

/** Runs a script of a process, which gets the package as `lifecycle`. */
function runScript(body: string) {
  const script = `import(${JSON.stringify(MOD_URL)})
    .then(async (lifecycle) => { ${body} })`;
  return spawnSync(process.execPath, ["-e", script], { encoding: "utf8" });
}

describe("a process that ends by itself", () => {
  for (const reason of Object.keys(EXIT_RULES) as ExitReason[]) {
    it(`has the status and the line of its reason: ${reason}`, () => {
      const { status, stderr } = runScript(
        `lifecycle.endProcess("${reason}", "why", { program: "test" });`,
      );
      expect(status).toEqual(EXIT_RULES[reason].status);
      expect(stderr).toEqual(reason === "stopped" ? "" : "test: why\n");
    });
  }

  // Guards against the end of a process that nobody wants: an error of one part.
  it("does not do so for errors that nothing handles once it has started", () => {
    const { status, stdout } = runScript(`
      const guard = lifecycle.guardFailures("test");
      const error = (message) => console.log(message.split("\\n")[0]);
      guard.goOn({ error });
      setTimeout(() => { throw new Error("thrown") });
      Promise.reject(new Error("rejected"));
      setTimeout(() => console.log(guard.count), 50);
    `);
    expect(status).toEqual(0);
    expect(stdout.split("\n").sort()).toEqual([
      "",
      "2",
      "error that nothing handles: Error: rejected",
      "error that nothing handles: Error: thrown",
    ]);
  });

  it("does so for an error before it has started", () => {
    const { status, stderr } = runScript(`
      lifecycle.guardFailures("test");
      setInterval(() => {}, 1_000);
      throw new Error("thrown");
    `);
    expect(status).toEqual(EXIT_RULES.start_failed.status);
    expect(stderr.startsWith("test: Error: thrown\n")).toEqual(true);
  });
});

describe("a process whose log can't be written", () => {
  // Guards against an end when the reader of the log closes its pipe.
  it("goes on if the reader is gone", async () => {
    const child = spawn(process.execPath, [
      "-e",
      `import(${JSON.stringify(MOD_URL)}).then((lifecycle) => {
        lifecycle.guardFailures("test");
        setInterval(() => { console.log("out"); console.error("err") }, 10);
        setTimeout(() => process.exit(7), 800);
      })`,
    ], { stdio: ["ignore", "pipe", "pipe"] });
    child.stdout.once("data", () => child.stdout.destroy());
    child.stderr.once("data", () => child.stderr.destroy());
    const status = await new Promise((resolve) => child.on("exit", resolve));
    expect(status).toEqual(7);
  });
});
