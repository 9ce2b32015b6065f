import type { AnyFlags } from "meow";

/** Flag values of a command, keyed by camel-case name. */
export type BenchFlags = Readonly<Record<string, unknown>>;

/** An experiment that can be run from the command line. */
export interface BenchCommand {
  /** One-line description of what the experiment measures. */
  help: string;
  /** Flag definitions for the argument parser. */
  flags: AnyFlags;
  /** Runs the experiment and returns its results, which are printed as JSON. */
  handler(flags: BenchFlags): Promise<unknown>;
}
