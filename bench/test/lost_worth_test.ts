import { expect } from "earl";
import { describe, it } from "node:test";
import { findLosingWindows } from "../src/worth/lost_worth.ts";
import { NoLogError, parseLog } from "../src/worth/parse_log.ts";
import { NoReportError, parseReport } from "../src/worth/parse_report.ts";
import { worth } from "../src/commands/worth.ts";

function createReport(windowWorths: number[]): string {
  return JSON.stringify({
    parts: [["whole day", 0.35, 0.9], ["worst windows", 0.5, 0.6]],
    prices: [["machine-seconds", 700.1, 0.02], ["probes", 0, 0]],
    windows: windowWorths.map((it, i) => ({
      name: String(2 * i),
      n: 10,
      in_aim: 5,
      late: 3,
      refused: 0,
      failed: 2,
      worth: it,
    })),
  });
}

function createLine(atS: number, fields: Record<string, unknown>): string {
  return `   ${atS} front-1 ${JSON.stringify({ part: "call", ...fields })}`;
}

describe("findLosingWindows", () => {
  it("sorts the windows by the worth that they lost", () => {
    const report = parseReport(createReport([1, 0.5, 0.9]));
    const windows = findLosingWindows(report, []);
    expect(windows.map((it) => it.startS)).toEqual([2, 4]);
    expect(windows.map((it) => Math.round(it.shareOfLoss * 100)))
      .toEqual([83, 17]);
    expect(windows.map((it) => it.meanRunning)).toEqual([null, null]);
  });

  it("counts what was logged in each window, by reason", () => {
    const log = parseLog([
      "built in 1.2 s",
      createLine(1.9, { event: "refused", reason: "no_upstream" }),
      createLine(2.1, { event: "routed", running: 6 }),
      createLine(2.2, { event: "routed", running: 8 }),
      createLine(2.4, { event: "stopped", why: "deadline" }),
      createLine(3.9, { event: "stopped", why: "deadline" }),
      createLine(3.95, { event: "answered", reason: "answered by e1" }),
      '   3.99 front-1 {"part":"call","ev',
    ].join("\n"));
    const [window] = findLosingWindows(
      parseReport(createReport([1, 0.5])),
      log,
    );
    expect(window?.causes).toEqual([{ cause: "stopped: deadline", count: 2 }]);
    expect(window?.meanRunning).toEqual(7);
  });

  it("finds no window in a day without a loss", () => {
    expect(findLosingWindows(parseReport(createReport([1, 1])), []))
      .toEqual([]);
  });
});

describe("bench worth with bad input", () => {
  it("rejects a file that is no report", () => {
    expect(() => parseReport("built in 1.2 s")).toThrow(NoReportError);
    expect(() => parseReport('{"windows":[]}')).toThrow("parts");
  });

  it("rejects logs without a line on a call", () => {
    expect(() => parseLog("built in 1.2 s\n")).toThrow(NoLogError);
  });

  it("names a file that cannot be read", async () => {
    const flags = { report: "/nonexistent/report.json", most: 5 };
    await expect(runWorth(flags)).toBeRejectedWith("/nonexistent/report.json");
  });

  it("rejects logs for several days and a bad number of windows", async () => {
    await expect(runWorth({ report: "a,b", logs: "c", most: 5 }))
      .toBeRejectedWith("logs belong to one day");
    await expect(runWorth({ report: "a", most: 0 }))
      .toBeRejectedWith('most "0"');
  });
});

async function runWorth(flags: Record<string, unknown>): Promise<void> {
  await worth.handler(flags);
}
