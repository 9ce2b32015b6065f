/**
 * Logs with a fixed prefix for each part, for people or as JSON lines.
 *
 * @module
 */
import { type ConsolaReporter, createConsola, LogLevels } from "consola";
import process from "node:process";

/** How log lines are written. */
export type LogFormat = "human" | "json";

/** Least severe level that is written. */
export type LogLevel = "error" | "warn" | "info" | "debug";

/** Logger of one part. Messages are short sentences. */
export interface Logger {
  error(message: string): void;
  warn(message: string): void;
  info(message: string): void;
  debug(message: string): void;
}

/** Makes the logger of a named part, such as `owner`. */
export type LoggerFactory = (part: string) => Logger;

const CONSOLA_LEVELS: Record<LogLevel, number> = {
  error: LogLevels.error,
  warn: LogLevels.warn,
  info: LogLevels.info,
  debug: LogLevels.debug,
};

const REPORTERS: Record<LogFormat, (host: string) => ConsolaReporter> = {
  human: createHumanReporter,
  json: createJsonReporter,
};

/** Creates the loggers of one process. */
export function createLoggers(
  opts: { host: string; format: LogFormat; level: LogLevel },
): LoggerFactory {
  const root = createConsola({
    level: CONSOLA_LEVELS[opts.level],
    reporters: [REPORTERS[opts.format](opts.host)],
  });
  return (part) => root.withTag(part);
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
      const message = entry.args.join(" ");
      process.stderr.write(
        `${time} ${host} ${entry.type} [${entry.tag}] ${message}\n`,
      );
    },
  };
}

function createJsonReporter(host: string): ConsolaReporter {
  return {
    log(entry) {
      const line = {
        time: entry.date.toISOString(),
        host,
        level: entry.type,
        part: entry.tag,
        message: entry.args.join(" "),
      };
      process.stderr.write(JSON.stringify(line) + "\n");
    },
  };
}
