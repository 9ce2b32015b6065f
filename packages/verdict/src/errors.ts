import ModernError from "modern-errors";
import type { Verdict } from "./verdict.ts";

/**
 * Base class of all errors that are returned to a caller. Each error carries
 * the verdict on the request, the HTTP status of the response and, optionally,
 * the delay in milliseconds after which the caller should retry.
 */
export const RequestError = ModernError.subclass("RequestError", {
  props: {
    verdict: "not_run" as Verdict,
    status: 500,
    retryAfterMs: undefined as number | undefined,
  },
});
export type RequestError = InstanceType<typeof RequestError>;

/** Type of the subclasses of `RequestError`. */
export type RequestErrorClass = typeof RequestError;

/** The request is malformed or violates the protocol. */
export const BadRequestError: RequestErrorClass = subclass(
  "BadRequestError",
  400,
);

/** The request carries no API key, or one that is not known. */
export const UnauthorizedError: RequestErrorClass = subclass(
  "UnauthorizedError",
  401,
);

/** The API key is valid but does not permit the request. */
export const ForbiddenError: RequestErrorClass = subclass(
  "ForbiddenError",
  403,
);

/** The requested program, row or route does not exist. */
export const NotFoundError: RequestErrorClass = subclass("NotFoundError", 404);

/** The request conflicts with the current state of its program or cell. */
export const ConflictError: RequestErrorClass = subclass("ConflictError", 409);

/** The request body exceeds the size limit. */
export const TooLargeError: RequestErrorClass = subclass("TooLargeError", 413);

/** The request would exceed the token budget of its program. */
export const BudgetError: RequestErrorClass = subclass("BudgetError", 402);

/** The system is at capacity and does not accept the request now. */
export const OverloadedError: RequestErrorClass = subclass(
  "OverloadedError",
  429,
);

/** The component that must serve the request is currently unreachable. */
export const UnavailableError: RequestErrorClass = subclass(
  "UnavailableError",
  503,
);

/** The upstream failed to serve the request. */
export const UpstreamError: RequestErrorClass = subclass("UpstreamError", 502);

/** The request did not complete before its deadline. */
export const TimeoutError: RequestErrorClass = subclass("TimeoutError", 504);

function subclass(
  name: `${string}Error`,
  status: number,
): RequestErrorClass {
  const errorClass = RequestError.subclass(name, { props: { status } });
  return errorClass as unknown as RequestErrorClass;
}
