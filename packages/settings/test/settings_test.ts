import { expect } from "earl";
import { describe, it } from "node:test";
import * as z from "zod";
import { readSettings } from "../src/mod.ts";

function read(argv: string[], env: Record<string, string> = {}) {
  return readSettings({
    name: "test",
    summary: "A test.",
    importMeta: import.meta,
    argv,
    env,
    defs: {
      flushMs: { flag: "flush-ms", type: "number", help: "Interval in ms" },
      allowFaults: { flag: "allow-faults", type: "boolean", help: "Faults" },
      host: { flag: "host", type: "string", help: "Host" },
    },
    schema: z.object({
      flushMs: z.number().int().min(10).default(1_000),
      allowFaults: z.boolean().default(false),
      host: z.string().default("h"),
    }),
  });
}

describe("readSettings", () => {
  it("applies defaults", () => {
    expect(read([])).toEqual({ flushMs: 1_000, allowFaults: false, host: "h" });
  });

  it("reads environment variables and gives precedence to flags", () => {
    const env = { TOUCANTRESTLE_FLUSH_MS: "50", TOUCANTRESTLE_HOST: "v" };
    expect(read([], env).flushMs).toEqual(50);
    expect(read(["--flush-ms", "60"], env).flushMs).toEqual(60);
    expect(read(["--host=f"], env).host).toEqual("f");
  });

  it("rejects invalid settings and names the flag and the variable", () => {
    expect(() => read(["--flush-ms", "5"])).toThrow("--flush-ms");
    expect(() => read([], { TOUCANTRESTLE_FLUSH_MS: "x" }))
      .toThrow("TOUCANTRESTLE_FLUSH_MS");
    expect(() => read(["--flsh-ms", "5"])).toThrow("unknown setting --flsh-ms");
  });
});
