import ModernError from "modern-errors";
import type { Verdict } from "./verdict.ts";

/**
 * Base of all errors that reach a caller. Each carries the verdict on the
 * request, the HTTP status that fits, and optionally a time to come back in
 * milliseconds.
 */
export const RequestError = ModernError.subclass("RequestError", {
  props: {
    verdict: "not_run" as Verdict,
    status: 500,
    retryAfterMs: undefined as number | undefined,
  },
});
export type RequestError = InstanceType<typeof RequestError>;

/** Class of a kind of request error. */
export type RequestErrorClass = typeof RequestError;

/** The request is malformed or breaks a rule of the protocol. */
export const BadRequestError: RequestErrorClass = subclass(
  "BadRequestError",
  400,
);

/** The request carries no known key. */
export const UnauthorizedError: RequestErrorClass = subclass(
  "UnauthorizedError",
  401,
);

/** The key is known but does not allow the request. */
export const ForbiddenError: RequestErrorClass = subclass(
  "ForbiddenError",
  403,
);

/** The named program, row or route does not exist. */
export const NotFoundError: RequestErrorClass = subclass("NotFoundError", 404);

/** The request conflicts with the state of its program or cell. */
export const ConflictError: RequestErrorClass = subclass("ConflictError", 409);

/** The body is larger than the limit. */
export const TooLargeError: RequestErrorClass = subclass("TooLargeError", 413);

/** The request would exceed its program's budget. */
export const BudgetError: RequestErrorClass = subclass("BudgetError", 402);

/** The system has no room for the request now. */
export const OverloadedError: RequestErrorClass = subclass(
  "OverloadedError",
  429,
);

/** The part that must serve the request cannot be reached now. */
export const UnavailableError: RequestErrorClass = subclass(
  "UnavailableError",
  503,
);

/** The upstream failed the request. */
export const UpstreamError: RequestErrorClass = subclass("UpstreamError", 502);

/** The request did not end before its deadline. */
export const TimeoutError: RequestErrorClass = subclass("TimeoutError", 504);

function subclass(
  name: `${string}Error`,
  status: number,
): RequestErrorClass {
  const kind = RequestError.subclass(name, { props: { status } });
  return kind as unknown as RequestErrorClass;
}
