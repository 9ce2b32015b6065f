import { expect } from "earl";
import { spawn } from "node:child_process";
import process from "node:process";
import { describe, it } from "node:test";
import { ProcessSignals } from "../src/mod.ts";

const SIGNALS_URL = new URL("../src/signals.js", import.meta.url).href;

describe("signals that arrive before there is a handler", () => {
  // Guards against signals that are lost while the process starts.
  it("are handed over once the handler is set", () => {
    const signals = new ProcessSignals();
    const received: string[] = [];
    signals.receive("SIGHUP");
    signals.receive("SIGTERM");
    expect(signals.isStopRequested).toEqual(true);
    signals.on("reload", (it) => received.push(it));
    signals.on("stop", (it) => received.push(it));
    signals.receive("SIGINT");
    expect(received).toEqual(["SIGHUP", "SIGTERM", "SIGINT"]);
  });

  it("are handed over once only", () => {
    const signals = new ProcessSignals();
    let count = 0;
    signals.receive("SIGHUP");
    signals.receive("SIGHUP");
    signals.on("reload", () => count += 1);
    signals.on("reload", () => count += 10);
    expect(count).toEqual(1);
  });
});

describe("signals of a process", () => {
  // Guards against a process that a signal ends because nothing listens for it.
  it("do not end it", async () => {
    const script = `
      import(${JSON.stringify(SIGNALS_URL)}).then(({ takeSignals }) => {
        const signals = takeSignals();
        console.log("taken");
        setTimeout(() => {
          signals.on("reload", (it) => console.log(it));
          signals.on("stop", (it) => { console.log(it); process.exit(0); });
        }, 300);
      });`;
    const child = spawn(process.execPath, ["-e", script], {
      stdio: ["ignore", "pipe", "inherit"],
    });
    let output = "";
    child.stdout.on("data", (chunk) => {
      if (output === "") {
        for (
          const name of ["SIGHUP", "SIGUSR2", "SIGQUIT", "SIGTERM"] as const
        ) {
          child.kill(name);
        }
      }
      output += chunk;
    });
    const status = await new Promise((resolve) => child.on("exit", resolve));
    expect(status).toEqual(0);
    expect(output).toEqual("taken\nSIGHUP\nSIGTERM\n");
  });
});
