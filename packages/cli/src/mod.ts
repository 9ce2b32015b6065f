/**
 * Operators' command-line interface as a library.
 *
 * @module
 */
export { type CliIo, runCli } from "./run.ts";
export { EXIT_STATUSES } from "./command.ts";
