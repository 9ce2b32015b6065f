import { expect } from "earl";
import { describe, it } from "node:test";
import { EXIT_STATUSES, runCli } from "../src/mod.ts";

const SAMPLES = new URL("../../test/samples/", import.meta.url).pathname;

async function explain(...args: string[]) {
  const out: string[] = [];
  const err: string[] = [];
  const status = await runCli({
    argv: ["explain", ...args],
    env: {},
    out: (line) => out.push(line),
    err: (line) => err.push(line),
  });
  return { out, err, status };
}

function sample(name: string): string {
  return `${SAMPLES}${name}.log`;
}

/**
 * Follows the procedures in docs/OPERATIONS.md on log samples recorded in a
 * simulated day.
 */
describe("explain", () => {
  it("shows that a rejected call was missing its turn stores", async () => {
    const { out } = await explain("1c5cc13b7dbf42ac", sample("refused"));
    const text = out.join("\n");
    expect(/not_started: the turn does not start: unknown/.test(text ?? ""))
      .toEqual(true);
    expect(/reason=turns_unknown/.test(text ?? "")).toEqual(true);
    expect(/verdict=not_run/.test(text ?? "")).toEqual(true);
  });

  it("shows which previous turn caused a 404 response", async () => {
    const { out } = await explain("06419da4ee77def4", sample("not_found"));
    expect(/previousTurn=4c61ecaef9ae3e1e/.test(out[0] ?? "")).toEqual(true);
    expect(/reachesTurnStores=true/.test(out[0] ?? "")).toEqual(true);
    expect(/status=404/.test(out[1] ?? "")).toEqual(true);
  });

  it("shows that the record of a truncated response was not persisted", async () => {
    const { out } = await explain("8ba777d634bbb3bc", sample("cut_midway"));
    expect(/routed.*\n(.*\n)*.*not_kept/.test(out.join("\n") ?? "")).toEqual(
      true,
    );
    expect(/cut_off/.test(out.at(-1) ?? "")).toEqual(true);
  });

  it("includes the other calls of the program with --program", async () => {
    const requestOnly = await explain("8ba777d634bbb3bc", sample("cut_midway"));
    const withProgram = await explain(
      "8ba777d634bbb3bc",
      sample("cut_midway"),
      "--program",
    );
    expect(withProgram.out.length > requestOnly.out.length).toEqual(true);
  });

  it("reports an unreadable file and reads the other files", async () => {
    const { out, status } = await explain(
      "06419da4ee77def4",
      "/no/such.log",
      sample("not_found"),
    );
    expect(status).toEqual(EXIT_STATUSES.done);
    expect(out[0]).toEqual("cannot read log file /no/such.log (ENOENT)");
    expect(out.length).toEqual(3);
  });

  it("requires a file argument", async () => {
    const { err, status } = await explain("x");
    expect(status).toEqual(EXIT_STATUSES.usage);
    expect(err).toEqual(["toucantrestle: missing argument FILE"]);
  });
});
