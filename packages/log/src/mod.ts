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

export { Listeners } from "./listeners.ts";

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

/** Options of `createLoggers`. */
export interface LoggersOptions {
  host: string;
  format: LogFormat;
  level: LogLevel;
  /** Destination of JSON lines. Defaults to standard output. */
  sink?: LineSink;
}

const FACTORIES: Record<LogFormat, (opts: LoggersOptions) => LoggerFactory> = {
  human: createHumanLoggers,
  json: createJsonLoggers,
};

/** Creates the logger factory of a process. */
export function createLoggers(opts: LoggersOptions): LoggerFactory {
  return FACTORIES[opts.format](opts);
}

function createHumanLoggers({ host, level }: LoggersOptions): LoggerFactory {
  const root = createConsola({
    level: CONSOLA_LEVELS[level],
    reporters: [createHumanReporter(host)],
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

/**
 * Writes one JSON object per line, with a rate limit per kind of event. Requests
 * are logged in this format, so that it takes no detour through a library.
 */
function createJsonLoggers(
  { host, level: maxLevel, sink }: LoggersOptions,
): LoggerFactory {
  const writer = new BoundedWriter({
    sink,
    now: () => performance.now(),
    formatDropped: (counts) =>
      formatJsonLine({
        time: new Date().toISOString(),
        host,
        level: "warn",
        part: "log",
        message: "log lines dropped: rate limit, slow reader or failed write",
        event: "lines_dropped",
        ...counts,
      }),
  });

  function createMethod(part: string, level: LogLevel): Logger[LogLevel] {
    if (CONSOLA_LEVELS[level] > CONSOLA_LEVELS[maxLevel]) return () => {};
    const isFailure = CONSOLA_LEVELS[level] <= LogLevels.warn;
    const severity = isFailure ? "failure" : "routine";
    return (message, fields) => {
      const kind = `${part}/${fields?.event ?? "message"}`;
      writer.write(
        kind,
        severity,
        () =>
          formatJsonLine({
            time: new Date().toISOString(),
            host,
            level,
            part,
            message,
            ...fields,
          }),
      );
    };
  }

  return (part) => ({
    error: createMethod(part, "error"),
    warn: createMethod(part, "warn"),
    info: createMethod(part, "info"),
    debug: createMethod(part, "debug"),
  });
}

function formatJsonLine(fields: LogFields): string {
  return `${JSON.stringify(fields)}\n`;
}
