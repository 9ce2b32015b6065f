import { RequestError, type Verdict } from "@toucantrestle/verdict";

/** Status of an answer that sends a request to another daemon. */
export const MISDIRECTED_STATUS = 421;

/**
 * The shard of a request moved, or moves now: the request is to be sent to its
 * new owner, which knows from the journal what became of it.
 */
export function relocated(shard: number, verdict: Verdict): RequestError {
  return new RequestError(`shard ${shard} is not served by this host`, {
    props: { verdict, status: MISDIRECTED_STATUS },
  });
}

/** Tells whether a request should be sent to its new owner. */
export function isRelocated(err: unknown): err is RequestError {
  return err instanceof RequestError && err.status === MISDIRECTED_STATUS;
}
