import type { AnyFlags } from "meow";

/** Values of a command's flags by camel-case name. */
export type BenchFlags = Readonly<Record<string, unknown>>;

/** One experiment. */
export interface BenchCommand {
  /** One line on what it measures. */
  help: string;
  flags: AnyFlags;
  /** Runs it and returns the figures. */
  handler(flags: BenchFlags): Promise<unknown>;
}
