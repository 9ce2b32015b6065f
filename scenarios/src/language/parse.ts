import { parse, SyntaxError } from "#parser";
import type { Step } from "./step.ts";

/**
 * Thrown when a script has a syntax error. The message contains the file, line,
 * column and the expected input.
 */
export class ScriptError extends Error {
  override name = "ScriptError";
}

/**
 * Parses a scenario script into steps.
 *
 * @throws {ScriptError} if the script has a syntax error
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
