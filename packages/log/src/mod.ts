/**
 * Structured logs tagged by component, human-readable or as JSON lines.
 *
 * @module
 */
import {
  type ConsolaInstance,
  type ConsolaReporter,
  createConsola,
  LogLevels,
} from "consola";
import { performance } from "node:perf_hooks";
import process from "node:process";
import { BoundedWriter, type LineSink } from "./bounded_writer.ts";

export {
  BoundedWriter,
  type LineSeverity,
  type LineSink,
} from "./bounded_writer.ts";

/** Output format of log lines. */
export type LogFormat = "human" | "json";

/** Severity threshold; less severe lines are discarded. */
export type LogLevel = "error" | "warn" | "info" | "debug";

/** Structured fields of a log line by name. */
export type LogFields = Record<
  string,
  string | number | boolean | readonly string[] | undefined
>;

/** Logger of one component. Messages are short sentences. */
export interface Logger {
  error(message: string, fields?: LogFields): void;
  warn(message: string, fields?: LogFields): void;
  info(message: string, fields?: LogFields): void;
  debug(message: string, fields?: LogFields): void;
}

/** Creates the logger of a named component, such as `owner`. */
export type LoggerFactory = (part: string) => Logger;

const CONSOLA_LEVELS: Record<LogLevel, number> = {
  error: LogLevels.error,
  warn: LogLevels.warn,
  info: LogLevels.info,
  debug: LogLevels.debug,
};

type ReporterFactory = (host: string, sink?: LineSink) => ConsolaReporter;

const REPORTERS: Record<LogFormat, ReporterFactory> = {
  human: createHumanReporter,
  json: createJsonReporter,
};

/** Creates the logger factory of a process. */
export function createLoggers(
  opts: {
    host: string;
    format: LogFormat;
    level: LogLevel;
    /** Destination of JSON lines. Defaults to standard output. */
    sink?: LineSink;
  },
): LoggerFactory {
  const root = createConsola({
    level: CONSOLA_LEVELS[opts.level],
    reporters: [REPORTERS[opts.format](opts.host, opts.sink)],
    // The JSON reporter limits the rate of each kind of event.
    throttle: 0,
  });
  return (part) => createLogger(root.withTag(part));
}

function createLogger(consola: ConsolaInstance): Logger {
  return {
    error: (message, fields) => consola.error(message, fields),
    warn: (message, fields) => consola.warn(message, fields),
    info: (message, fields) => consola.info(message, fields),
    debug: (message, fields) => consola.debug(message, fields),
  };
}

/** Creates loggers that discard all lines, for tests and library use. */
export function createNoopLoggers(): LoggerFactory {
  const logger: Logger = {
    error() {},
    warn() {},
    info() {},
    debug() {},
  };
  return () => logger;
}

function createHumanReporter(host: string): ConsolaReporter {
  return {
    log(entry) {
      const time = entry.date.toISOString().slice(11, 23);
      const [message, fields] = entry.args as [string, LogFields?];
      const details = fields ? ` ${JSON.stringify(fields)}` : "";
      process.stderr.write(
        `${time} ${host} ${entry.type} [${entry.tag}] ${message}${details}\n`,
      );
    },
  };
}

/** Writes one JSON object per line, with a rate limit per kind of event. */
function createJsonReporter(host: string, sink?: LineSink): ConsolaReporter {
  const writer = new BoundedWriter({
    sink,
    now: () => performance.now(),
    formatDropped: (counts) =>
      formatJsonLine({
        time: new Date().toISOString(),
        host,
        level: "warn",
        part: "log",
        message: "log lines dropped because of the rate limit or a slow reader",
        event: "lines_dropped",
        ...counts,
      }),
  });
  return {
    log(entry) {
      const [message, fields] = entry.args as [string, LogFields?];
      const isFailure = entry.level <= LogLevels.warn;
      const kind = `${entry.tag}/${fields?.event ?? "message"}`;
      writer.write(
        kind,
        isFailure ? "failure" : "routine",
        () =>
          formatJsonLine({
            time: entry.date.toISOString(),
            host,
            level: entry.type,
            part: entry.tag,
            message,
            ...fields,
          }),
      );
    },
  };
}

function formatJsonLine(fields: LogFields): string {
  return `${JSON.stringify(fields)}\n`;
}
