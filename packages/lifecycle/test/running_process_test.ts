import { expect } from "earl";
import { spawnSync } from "node:child_process";
import process from "node:process";
import { describe, it } from "node:test";
import { EXIT_RULES } from "../src/mod.ts";

const MOD_URL = new URL("../src/mod.js", import.meta.url).href;

/** Runs a process whose script has `running`, its signals and `delay`. */
function runScript(body: string) {
  const script = `import(${JSON.stringify(MOD_URL)}).then(async (lifecycle) => {
    const delay = (ms) => new Promise((resolve) => setTimeout(resolve, ms));
    const signals = lifecycle.takeSignals();
    const log = { info: console.log, error: console.log };
    const running = new lifecycle.RunningProcess(
      { program: "test", signals, log });
    ${body}
    await delay(5_000);
  })`;
  const { status, stdout, stderr } = spawnSync(
    process.execPath,
    ["-e", script],
    { encoding: "utf8" },
  );
  const messages = stdout.split("\n").map((it) => it.split(" {")[0]);
  return { status, stderr, messages: messages.filter((it) => it !== "") };
}

describe("a process that is asked to stop", () => {
  it("ends at once if it has nothing to finish yet", () => {
    const { status, messages } = runScript(`signals.receive("SIGTERM");`);
    expect(status).toEqual(0);
    expect(messages).toEqual(["got SIGTERM", "stopped"]);
  });

  // Guards against a second signal that ends a process too early.
  it("finishes once, however many signals come", () => {
    const { status, messages } = runScript(`
      running.onStop(async () => {
        console.log("finishing");
        await delay(200);
        console.log("finished");
      });
      signals.receive("SIGTERM");
      signals.receive("SIGINT");
    `);
    expect(status).toEqual(0);
    expect(messages).toEqual([
      "got SIGTERM",
      "finishing",
      "got SIGINT",
      "finished",
      "stopped",
    ]);
  });

  // Guards against a process that an operator has drained, and that stays.
  it("ends without a signal, too", () => {
    const { status, messages } = runScript(`
      running.onStop(async () => console.log("finished"));
      running.stop();
    `);
    expect(status).toEqual(0);
    expect(messages).toEqual(["finished", "stopped"]);
  });

  it("says so if it cannot finish", () => {
    const { status, stderr } = runScript(`
      running.onStop(() => Promise.reject(new Error("odd")));
      signals.receive("SIGTERM");
    `);
    expect(status).toEqual(EXIT_RULES.stop_failed.status);
    expect(stderr.startsWith("test: cannot finish the stop: Error: odd"))
      .toEqual(true);
  });
});

describe("a process whose start fails", () => {
  it("ends with the reason of the failure", () => {
    const { status, stderr } = runScript(`
      running.endFailedStart(
        new lifecycle.ExitError("disk_unavailable", "no disk"));
    `);
    expect(status).toEqual(EXIT_RULES.disk_unavailable.status);
    expect(stderr).toEqual("test: cannot start: no disk\n");
  });

  // Guards against a failure in place of a planned stop during the start.
  it("ends by the stop that came meanwhile", () => {
    const { status, stderr } = runScript(`
      running.onStop(() => delay(100));
      signals.receive("SIGTERM");
      running.endFailedStart(new Error("odd"));
    `);
    expect([status, stderr]).toEqual([0, ""]);
  });
});
