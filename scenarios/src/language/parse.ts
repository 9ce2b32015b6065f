import { parse, SyntaxError } from "#parser";
import type { Step } from "./step.ts";

/** A script is broken. The message names the line and what fits there. */
export class ScriptError extends Error {
  override name = "ScriptError";
}

/**
 * Parses a script.
 *
 * @throws {ScriptError} with line and column
 */
export function parseScript(name: string, text: string): Step[] {
  try {
    return parse(text, { grammarSource: name });
  } catch (err) {
    if (!(err instanceof SyntaxError)) throw err;
    const { line, column } = err.location.start;
    throw new ScriptError(`${name}:${line}:${column}: ${err.message}`);
  }
}
