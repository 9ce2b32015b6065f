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
const UPGRADE_STATUS = 101;
/** Statuses of responses that have no body (RFC 9112 section 6.3). */
const STATUSES_WITHOUT_BODY = new Set([204, 304]);
const LENGTH = /^\d+$/;

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
  const bodyDelimiter = bodyDelimiterOf(raw.status, headers);
  return { kind: "valid", head: { ...raw, headers, bodyDelimiter } };
}

/** Returns why a head is malformed; undefined if it is well formed. */
function findFault(
  { status, rawHeaders }: RawResponseHead,
): string | undefined {
  const isStatus = Number.isInteger(status) && status >= MIN_STATUS &&
    status <= MAX_STATUS;
  if (!isStatus) return `status ${status} is not in 100 to 599`;
  if (status === UPGRADE_STATUS) return "an upgrade was not asked for";
  if (rawHeaders.length % 2 !== 0) return "a header has no value";
  for (let i = 0; i + 1 < rawHeaders.length; i += 2) {
    const fault = headerFault(rawHeaders[i], rawHeaders[i + 1]);
    if (fault !== undefined) return fault;
  }
  return framingFault(rawHeaders);
}

/**
 * Returns why the end of the body is not certain. No coding but chunks was asked
 * for, and two marks of the end may contradict each other (RFC 9112 section
 * 6.3).
 */
function framingFault(rawHeaders: string[]): string | undefined {
  const codings = valuesOf(rawHeaders, "transfer-encoding");
  const lengths = valuesOf(rawHeaders, "content-length");
  if (codings.length + lengths.length > 1) return "the body has two ends";
  const [coding] = codings;
  if (coding !== undefined && coding.toLowerCase() !== "chunked") {
    return `transfer coding ${coding} was not asked for`;
  }
  const [length] = lengths;
  const isLength = length === undefined || LENGTH.test(length);
  return isLength ? undefined : `content length ${length} is not a number`;
}

/** Returns the values of a header, given in lower case. */
function valuesOf(rawHeaders: string[], name: string): string[] {
  return rawHeaders.filter((_, i) =>
    i % 2 === 1 && rawHeaders[i - 1]?.toLowerCase() === name
  );
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

function bodyDelimiterOf(
  status: number,
  headers: Map<string, string>,
): BodyDelimiter {
  if (STATUSES_WITHOUT_BODY.has(status)) return "length";
  if (headers.has("transfer-encoding")) return "chunked";
  return headers.has("content-length") ? "length" : "close";
}
