import { readFile } from "node:fs/promises";
import process from "node:process";
import type { BenchCommand, BenchFlags } from "../command.ts";
import { findLosingWindows, type LosingWindow } from "../worth/lost_worth.ts";
import { type LogEvent, parseLog } from "../worth/parse_log.ts";
import { type DayReport, parseReport } from "../worth/parse_report.ts";

/** Where one day lost its worth. */
interface DayLoss {
  report: string;
  parts: DayReport["parts"];
  prices: DayReport["prices"];
  windows: LosingWindow[];
}

/** Shows which windows of a day lost worth, and what the fronts logged. */
export const worth: BenchCommand = {
  help:
    "windows of days that lost worth, and what the fronts logged in them: " +
    "--report FILE[,FILE...] [--logs FILE] [--most N]",
  flags: {
    report: { type: "string", isRequired: true },
    logs: { type: "string" },
    most: { type: "number", default: 5 },
  },
  async handler(flags) {
    const reports = String(flags["report"]).split(",");
    const most = readMost(flags);
    const log = await readLog(flags, reports);
    const days = await Promise.all(reports.map((it) => lossOf(it, log, most)));
    for (const it of days) process.stderr.write(formatDay(it));
    return { days };
  },
};

function readMost(flags: BenchFlags): number {
  const most = Number(flags["most"]);
  if (Number.isInteger(most) && most > 0) return most;
  throw new Error(`most "${flags["most"]}" is not a positive whole number`);
}

async function readLog(
  flags: BenchFlags,
  reports: string[],
): Promise<LogEvent[]> {
  const file = flags["logs"];
  if (typeof file !== "string") return [];
  if (reports.length > 1) {
    throw new Error("logs belong to one day: give one report with --logs");
  }
  return await parseFile(file, parseLog);
}

async function lossOf(
  file: string,
  log: LogEvent[],
  most: number,
): Promise<DayLoss> {
  const report = await parseFile(file, parseReport);
  const windows = findLosingWindows(report, log).slice(0, most);
  return { report: file, parts: report.parts, prices: report.prices, windows };
}

/** Reads and parses a file; an error names the file. */
async function parseFile<T>(
  file: string,
  parse: (text: string) => T,
): Promise<T> {
  try {
    return parse(await readFile(file, "utf8"));
  } catch (err) {
    throw new Error(`${file}: ${(err as Error).message}`);
  }
}

function formatDay(day: DayLoss): string {
  const rows = day.windows.map((it) =>
    [
      `${it.startS} s`,
      `${(it.shareOfLoss * 100).toFixed(0)}% of the loss`,
      `worth ${it.worth.toFixed(2)}`,
      `${it.late} late, ${it.refused} refused, ${it.failed} failed of ${it.programs}`,
      ...it.causes.slice(0, 3).map(({ cause, count }) => `${cause} ${count}`),
    ].join("  ")
  );
  return `${[day.report, ...rows].join("\n")}\n`;
}
