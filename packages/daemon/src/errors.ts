import { RequestError, type Verdict } from "@toucantrestle/verdict";

/** HTTP status for a request that must be sent to another daemon. */
export const MISDIRECTED_STATUS = 421;

/**
 * Creates the error for a request whose shard has moved or is moving. The
 * request must be sent to the new owner, which knows its outcome from the
 * journal.
 */
export function createRelocatedError(
  shard: number,
  verdict: Verdict,
): RequestError {
  return new RequestError(`shard ${shard} is not served by this host`, {
    props: { verdict, status: MISDIRECTED_STATUS },
  });
}

/** Whether an error means that the request must be sent to the new owner. */
export function isRelocated(err: unknown): err is RequestError {
  return err instanceof RequestError && err.status === MISDIRECTED_STATUS;
}
