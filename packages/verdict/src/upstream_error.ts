import { type RequestError, TimeoutError, UpstreamError } from "./errors.ts";
import type { Verdict } from "./verdict.ts";

const UNSENT_CODES = new Set([
  "ECONNREFUSED",
  "EHOSTUNREACH",
  "ENETUNREACH",
  "UND_ERR_CONNECT_TIMEOUT",
]);

/**
 * Turns a failed exchange with an upstream into an error. The verdict is
 * `not_run` only where the connection was never made.
 */
export function upstreamError(upstream: string, cause: unknown): RequestError {
  const code = (cause as NodeJS.ErrnoException | undefined)?.code ?? "";
  if (UNSENT_CODES.has(code)) {
    return new UpstreamError(
      `upstream ${upstream} cannot be reached (${code})`,
      {
        props: { verdict: "not_run" as Verdict },
      },
    );
  }
  const name = cause instanceof Error ? cause.name : "";
  if (name === "TimeoutError" || name === "AbortError") {
    return new TimeoutError(`upstream ${upstream} did not answer in time`, {
      props: { verdict: "may_have_run" as Verdict },
    });
  }
  return new UpstreamError(`upstream ${upstream} cut the connection`, {
    props: { verdict: "may_have_run" as Verdict },
  });
}

/** The verdict that an upstream declares in its answer, if it does. */
export function declaredVerdict(body: string): Verdict {
  try {
    const parsed = JSON.parse(body) as { verdict?: unknown };
    return parsed.verdict === "not_run" ? "not_run" : "may_have_run";
  } catch {
    return "may_have_run";
  }
}
