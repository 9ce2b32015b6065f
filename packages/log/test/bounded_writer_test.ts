import { expect } from "earl";
import { spawn } from "node:child_process";
import { describe, it } from "node:test";
import { BoundedWriter, createLoggers, type LineSink } from "../src/mod.ts";

function createSink() {
  const lines: string[] = [];
  return {
    lines,
    writableLength: 0,
    write: (text: string) => lines.push(text),
  };
}

describe("BoundedWriter", () => {
  it("limits the rate of each kind and counts dropped lines", () => {
    let now = 0;
    const sink = createSink();
    const writer = new BoundedWriter({
      sink,
      now: () => now,
      formatDropped: (counts) => JSON.stringify(counts),
    });
    for (let i = 0; i < 100; i++) writer.write("a", "routine", () => "a");
    writer.write("b", "routine", () => "b");
    expect(sink.lines.length).toEqual(61);
    now = 1_500;
    writer.write("a", "routine", () => "a");
    expect(sink.lines.at(-2)).toEqual('{"a":40}');
    expect(writer.droppedCount).toEqual(40);
  });

  it("drops routine lines before failures when the reader is slow", () => {
    const sink = createSink();
    sink.writableLength = 300_000;
    const writer = new BoundedWriter({
      sink,
      now: () => 0,
      formatDropped: () => "",
    });
    writer.write("a", "routine", () => "routine");
    writer.write("a", "failure", () => "failure");
    expect(sink.lines).toEqual(["failure"]);
  });

  // Guards against an error of the output that nothing handles.
  it("counts the lines that could not be written until one is", () => {
    let now = 0;
    let isFull = true;
    const lines: string[] = [];
    const listeners: ((err: Error) => void)[] = [];
    const sink: LineSink = {
      writableLength: 0,
      on: (_event, listener) => listeners.push(listener),
      write(text, onWritten) {
        if (!isFull) lines.push(text);
        const err = isFull ? new Error("no space left") : null;
        onWritten?.(err);
        if (err) listeners.forEach((it) => it(err));
      },
    };
    const writer = new BoundedWriter({
      sink,
      now: () => now,
      formatDropped: (counts) => JSON.stringify(counts),
    });
    writer.write("a", "routine", () => "a");
    writer.write("a", "routine", () => "a");
    now = 1_500;
    writer.write("a", "routine", () => "a");
    isFull = false;
    now = 3_000;
    writer.write("a", "routine", () => "a");
    // Two lines and a third one with the report before it.
    expect(lines).toEqual(['{"unwritten":4}', "a"]);
    expect(writer.droppedCount).toEqual(4);
  });

  it("writes the fields of a JSON line", () => {
    const sink = createSink();
    const logs = createLoggers({
      host: "h",
      format: "json",
      level: "info",
      sink,
    });
    logs("call").info("is routed", { event: "routed", req: "r1" });
    const line = JSON.parse(sink.lines[0] ?? "") as Record<string, unknown>;
    expect([line.part, line.event, line.req, line.message]).toEqual([
      "call",
      "routed",
      "r1",
      "is routed",
    ]);
  });

  it("does not block the process when nobody reads its output", async () => {
    const mod = new URL("../src/mod.js", import.meta.url).href;
    const script = `
      const { createLoggers } = await import(${JSON.stringify(mod)});
      const log = createLoggers({ host: "h", format: "json", level: "info" })("x");
      const text = "y".repeat(1000);
      for (let i = 0; i < 3000; i++) {
        for (let k = 0; k < 20; k++) log.warn(text, { event: "e" + k });
        await new Promise((resolve) => setImmediate(resolve));
      }
      process.exit(0);`;
    const child = spawn(process.execPath, [
      "--input-type=module",
      "-e",
      script,
    ], { stdio: ["ignore", "pipe", "inherit"] });
    child.stdout.pause();
    const exitStatus = await new Promise((resolve) => {
      const killTimer = setTimeout(() => {
        child.kill("SIGKILL");
        resolve("blocked");
      }, 20_000);
      child.on("exit", (code) => {
        clearTimeout(killTimer);
        resolve(code);
      });
    });
    expect(exitStatus).toEqual(0);
  });
});
