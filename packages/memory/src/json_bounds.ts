/** Bounds of what a JSON text may become once it is parsed. */
export interface JsonBounds {
  /** Most objects and arrays within each other. */
  maxDepth: number;
  /** Most objects and arrays. */
  maxContainers: number;
  /** Most commas and colons: about one for each value and key. */
  maxSeparators: number;
}

/** Strings up to this length are passed over sooner without a search. */
const SHORT_STRING_CHARS = 24;

const QUOTE = 0x22;
const COMMA = 0x2c;
const COLON = 0x3a;
const OPEN_BRACKET = 0x5b;
const BACKSLASH = 0x5c;
const CLOSE_BRACKET = 0x5d;
const OPEN_BRACE = 0x7b;
const CLOSE_BRACE = 0x7d;

/**
 * Whether a text keeps its bounds. A list of a few MB may take a hundred times
 * as much memory once it is parsed, so this is asked before. It does not check
 * that the text is valid.
 */
export function fitsJsonBounds(text: string, bounds: JsonBounds): boolean {
  const { maxDepth, maxContainers, maxSeparators } = bounds;
  let depth = 0;
  let containers = 0;
  let separators = 0;
  for (let i = 0; i < text.length; i++) {
    switch (text.charCodeAt(i)) {
      case QUOTE:
        i = findStringEnd(text, i + 1);
        break;
      case OPEN_BRACE:
      case OPEN_BRACKET:
        if (++depth > maxDepth || ++containers > maxContainers) return false;
        break;
      case CLOSE_BRACE:
      case CLOSE_BRACKET:
        depth--;
        break;
      case COMMA:
      case COLON:
        if (++separators > maxSeparators) return false;
        break;
    }
  }
  return true;
}

/** Returns the place of the quote that ends a string, or of the text's end. */
function findStringEnd(text: string, start: number): number {
  const shortEnd = Math.min(text.length, start + SHORT_STRING_CHARS);
  for (let i = start; i < shortEnd; i++) {
    const code = text.charCodeAt(i);
    if (code === QUOTE) return i;
    if (code === BACKSLASH) i++;
  }
  return searchStringEnd(text, start);
}

function searchStringEnd(text: string, start: number): number {
  let end = text.indexOf('"', start);
  while (end >= 0 && isEscaped(text, end, start)) {
    end = text.indexOf('"', end + 1);
  }
  return end < 0 ? text.length : end;
}

/** Whether an odd number of backslashes is before a place of a string. */
function isEscaped(text: string, at: number, start: number): boolean {
  let first = at;
  while (first > start && text.charCodeAt(first - 1) === BACKSLASH) first--;
  return (at - first) % 2 === 1;
}
