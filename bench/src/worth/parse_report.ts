import * as z from "zod";

const windowSchema = z.object({
  /** Start of the window, in seconds of traffic. */
  name: z.string(),
  n: z.number(),
  in_aim: z.number(),
  late: z.number(),
  refused: z.number(),
  failed: z.number(),
  worth: z.number(),
});

const reportSchema = z.object({
  parts: z.array(z.tuple([z.string(), z.number(), z.number()])),
  prices: z.array(
    z.tuple([z.string(), z.number().nullable(), z.number().nullable()]),
  ),
  windows: z.array(windowSchema),
});

/** Programs that began within one span of a day. */
export interface DayWindow {
  /** Start of the span, in seconds of traffic. */
  startS: number;
  /** Number of programs. */
  programs: number;
  late: number;
  refused: number;
  failed: number;
  /** Fraction of the worth of the programs that was earned. */
  worth: number;
}

/** Worth of a day and what it lost, as the platform's bench reports it. */
export interface DayReport {
  /** Worth by part of the goal, as a fraction. */
  parts: { name: string; worth: number }[];
  /** What each price takes off, in worth; only those above zero. */
  prices: { name: string; lost: number }[];
  windows: DayWindow[];
}

/** Thrown when a file is not a report of the platform's bench. */
export class NoReportError extends Error {
  override name = "NoReportError";
}

/**
 * Parses a report of one day.
 *
 * @throws {NoReportError} if the text is not one
 */
export function parseReport(text: string): DayReport {
  const result = reportSchema.safeParse(parseJson(text));
  if (!result.success) {
    const issue = result.error.issues[0];
    throw new NoReportError(
      `not a report: ${issue?.path.join(".") || "document"}: ${issue?.message}`,
    );
  }
  const { parts, prices, windows } = result.data;
  return {
    parts: parts.map(([name, , worth]) => ({ name, worth })),
    prices: prices
      .map(([name, , lost]) => ({ name, lost: lost ?? 0 }))
      .filter((it) => it.lost > 0),
    windows: windows.map((it) => ({
      startS: Number(it.name),
      programs: it.n,
      late: it.late,
      refused: it.refused,
      failed: it.failed,
      worth: it.worth,
    })),
  };
}

function parseJson(text: string): unknown {
  try {
    return JSON.parse(text);
  } catch {
    throw new NoReportError("not a report: the file is not JSON");
  }
}
