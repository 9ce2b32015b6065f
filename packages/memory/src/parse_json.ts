import { fitsJsonBounds } from "./json_bounds.ts";

/** JSON text has more values than the process has memory for. */
export class TooManyValuesError extends Error {
  override readonly name = "TooManyValuesError";
}

/** Options of `parseJsonText`. */
export interface ParseJsonOptions {
  /** Most objects and arrays, and most other values for each of them. */
  maxValues?: number;
}

const MAX_VALUES = 200_000;
const MAX_DEPTH = 1_000;
/** Commas and colons for each object or array. */
const SEPARATORS_PER_VALUE = 2;

/**
 * Parses JSON text that a peer has sent. Its values may take many times the
 * memory of the text, so that their number is bounded. Short texts are not
 * checked.
 *
 * @throws {TooManyValuesError} if there are too many values
 * @throws {SyntaxError} if the text is no JSON
 */
export function parseJsonText(
  text: string,
  { maxValues = MAX_VALUES }: ParseJsonOptions = {},
): unknown {
  const bounds = {
    maxDepth: MAX_DEPTH,
    maxContainers: maxValues,
    maxSeparators: SEPARATORS_PER_VALUE * maxValues,
  };
  if (text.length > maxValues && !fitsJsonBounds(text, bounds)) {
    throw new TooManyValuesError(`the text has over ${maxValues} values`);
  }
  return JSON.parse(text);
}
