/**
 * Logs with a fixed prefix for each part, for people or as JSON lines.
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

/** How log lines are written. */
export type LogFormat = "human" | "json";

/** Least severe level that is written. */
export type LogLevel = "error" | "warn" | "info" | "debug";

/** What a line says beside its sentence, by name. */
export type LogFields = Record<
  string,
  string | number | boolean | readonly string[] | undefined
>;

/** Logger of one part. Messages are short sentences. */
export interface Logger {
  error(message: string, fields?: LogFields): void;
  warn(message: string, fields?: LogFields): void;
  info(message: string, fields?: LogFields): void;
  debug(message: string, fields?: LogFields): void;
}

/** Makes the logger of a named part, such as `owner`. */
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

/** Creates the loggers of one process. */
export function createLoggers(
  opts: {
    host: string;
    format: LogFormat;
    level: LogLevel;
    /** Where JSON lines go; standard output unless given. */
    sink?: LineSink;
  },
): LoggerFactory {
  const root = createConsola({
    level: CONSOLA_LEVELS[opts.level],
    reporters: [REPORTERS[opts.format](opts.host, opts.sink)],
    // Bounds by kind are kept by the reporter.
    throttle: 0,
  });
  return (part) => loggerOf(root.withTag(part));
}

function loggerOf(part: ConsolaInstance): Logger {
  return {
    error: (message, fields) => part.error(message, fields),
    warn: (message, fields) => part.warn(message, fields),
    info: (message, fields) => part.info(message, fields),
    debug: (message, fields) => part.debug(message, fields),
  };
}

/** A logger that writes nothing, for tests and library use. */
export function createSilentLoggers(): LoggerFactory {
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

/** One JSON object a line, within a bound for each kind of event. */
function createJsonReporter(host: string, sink?: LineSink): ConsolaReporter {
  const writer = new BoundedWriter({
    sink,
    now: () => performance.now(),
    onDropped: (counts) =>
      jsonLine({
        time: new Date().toISOString(),
        host,
        level: "warn",
        part: "log",
        message: "lines were dropped",
        event: "lines_dropped",
        ...counts,
      }),
  });
  return {
    log(entry) {
      const [message, fields] = entry.args as [string, LogFields?];
      const isFailure = entry.level <= LogLevels.warn;
      const kind = `${entry.tag}/${fields?.event ?? "message"}`;
      writer.write(kind, isFailure ? "failure" : "routine", () =>
        jsonLine({
          time: entry.date.toISOString(),
          host,
          level: entry.type,
          part: entry.tag,
          message,
          ...fields,
        }));
    },
  };
}

function jsonLine(fields: LogFields): string {
  return `${JSON.stringify(fields)}\n`;
}
