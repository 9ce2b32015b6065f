/** One decision of a front on a call, at a time of the day. */
export interface LogEvent {
  /** Seconds of traffic. */
  atS: number;
  event: string;
  /** Why, for events that have a reason. */
  reason: string | undefined;
  /** Requests that run on the chosen upstream, for a routed call. */
  running: number | undefined;
}

/** Thrown when a file holds no log lines of the fronts. */
export class NoLogError extends Error {
  override name = "NoLogError";
}

/** Time of the day, host, and the JSON line of a process. */
const LOG_LINE = /^\s*(-?[\d.]+)\s+\S+\s+(\{.*\})\s*$/;

/**
 * Parses the log lines that the platform's bench prints while it plays a day.
 * Other lines are skipped.
 *
 * @throws {NoLogError} if there is no line on a call
 */
export function parseLog(text: string): LogEvent[] {
  const events: LogEvent[] = [];
  for (const line of text.split("\n")) {
    const match = LOG_LINE.exec(line);
    if (!match) continue;
    const event = parseEvent(Number(match[1]), match[2] as string);
    if (event) events.push(event);
  }
  if (events.length === 0) throw new NoLogError("no log line on a call");
  return events;
}

function parseEvent(atS: number, json: string): LogEvent | undefined {
  const fields = parseFields(json);
  if (fields?.["part"] !== "call") return undefined;
  const reason = fields["why"] ?? fields["reason"];
  const running = fields["running"];
  return {
    atS,
    event: String(fields["event"]),
    reason: typeof reason === "string" ? reason : undefined,
    running: typeof running === "number" ? running : undefined,
  };
}

/** Returns the fields of a line; undefined if the line was cut. */
function parseFields(json: string): Record<string, unknown> | undefined {
  try {
    return JSON.parse(json) as Record<string, unknown>;
  } catch {
    return undefined;
  }
}
