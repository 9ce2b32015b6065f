import { validateHeaderName, validateHeaderValue } from "node:http";
import type {
  BodyDelimiter,
  RawResponseHead,
  ResponseHead,
} from "./exchange.ts";

/** Whether the head of a response is well formed. */
export type HeadCheck =
  | { kind: "valid"; head: ResponseHead }
  | { kind: "malformed"; reason: string };

/** Range of statuses (RFC 9110 section 15). */
const MIN_STATUS = 100;
const MAX_STATUS = 599;

/**
 * Decides whether the head of a response is well formed. Nothing else may be
 * passed on: an upstream, or a sibling that forwards for it, may send any bytes.
 */
export function checkResponseHead(raw: RawResponseHead): HeadCheck {
  const reason = findFault(raw);
  if (reason !== undefined) return { kind: "malformed", reason };
  const headers = new Map<string, string>();
  for (let i = 0; i + 1 < raw.rawHeaders.length; i += 2) {
    const name = (raw.rawHeaders[i] as string).toLowerCase();
    headers.set(name, raw.rawHeaders[i + 1] as string);
  }
  const bodyDelimiter = bodyDelimiterOf(headers);
  return { kind: "valid", head: { ...raw, headers, bodyDelimiter } };
}

/** Returns why a head is malformed; undefined if it is well formed. */
function findFault(
  { status, rawHeaders }: RawResponseHead,
): string | undefined {
  const isStatus = Number.isInteger(status) && status >= MIN_STATUS &&
    status <= MAX_STATUS;
  if (!isStatus) return `status ${status} is not in 100 to 599`;
  if (rawHeaders.length % 2 !== 0) return "a header has no value";
  for (let i = 0; i + 1 < rawHeaders.length; i += 2) {
    const fault = headerFault(rawHeaders[i], rawHeaders[i + 1]);
    if (fault !== undefined) return fault;
  }
  return undefined;
}

/** Checks a header by the rules of the server that would write it again. */
function headerFault(name: unknown, value: unknown): string | undefined {
  try {
    validateHeaderName(name as string);
    validateHeaderValue(name as string, value as string);
    return undefined;
  } catch (err) {
    return err instanceof Error ? err.message : String(err);
  }
}

function bodyDelimiterOf(headers: Map<string, string>): BodyDelimiter {
  const transferEncoding = headers.get("transfer-encoding")?.toLowerCase();
  if (transferEncoding === "chunked") return "chunked";
  return headers.has("content-length") ? "length" : "close";
}
