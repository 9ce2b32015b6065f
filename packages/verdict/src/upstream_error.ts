import { type RequestError, TimeoutError, UpstreamError } from "./errors.ts";
import type { Verdict } from "./verdict.ts";

/** Codes of errors that occur before a connection is established. */
const CONNECT_FAILURE_CODES = new Set([
  "ECONNREFUSED",
  "EHOSTUNREACH",
  "ENETUNREACH",
  "UND_ERR_CONNECT_TIMEOUT",
]);

/**
 * Converts the failure of a request to an upstream to a `RequestError`. The
 * verdict is `not_run` only if the connection was never established.
 */
export function toUpstreamError(
  upstream: string,
  cause: unknown,
): RequestError {
  const code = (cause as NodeJS.ErrnoException | undefined)?.code ?? "";
  if (CONNECT_FAILURE_CODES.has(code)) {
    return new UpstreamError(
      `upstream ${upstream} is unreachable (${code})`,
      {
        props: { verdict: "not_run" as Verdict },
      },
    );
  }
  const name = cause instanceof Error ? cause.name : "";
  if (name === "TimeoutError" || name === "AbortError") {
    return new TimeoutError(`request to upstream ${upstream} timed out`, {
      props: { verdict: "may_have_run" as Verdict },
    });
  }
  return new UpstreamError(
    `upstream ${upstream} closed the connection before the response was complete`,
    {
      props: { verdict: "may_have_run" as Verdict },
    },
  );
}

/**
 * Returns the verdict that an upstream declares in its response body, or
 * `may_have_run` if the body declares no `not_run`.
 */
export function parseDeclaredVerdict(body: string): Verdict {
  try {
    const parsed = JSON.parse(body) as { verdict?: unknown };
    return parsed.verdict === "not_run" ? "not_run" : "may_have_run";
  } catch {
    return "may_have_run";
  }
}

const RETRY_AFTER = /^\d+(\.\d+)?$/;
const MS_PER_S = 1_000;

/**
 * Returns the delay in a `Retry-After` header, in ms. A date or a value that
 * cannot be read gives none.
 */
export function parseRetryAfterMs(
  value: string | undefined,
): number | undefined {
  const seconds = value?.trim() ?? "";
  return RETRY_AFTER.test(seconds) ? Number(seconds) * MS_PER_S : undefined;
}
