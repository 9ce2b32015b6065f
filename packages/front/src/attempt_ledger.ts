import type { Verdict } from "@toucantrestle/verdict";

const PROOF = Symbol("not run");

/**
 * Proof that a request has not run at any upstream and will not. Only an
 * `AttemptLedger` creates one.
 */
export interface NotRunProof {
  readonly [PROOF]: true;
}

/** Returns the proof for a request that no attempt was begun for. */
export function neverAttempted(): NotRunProof {
  return { [PROOF]: true };
}

/**
 * Keeps account of the attempts at one request, each from before its first byte
 * can be sent until its outcome is known.
 */
export class AttemptLedger {
  #openCount = 0;
  #mayHaveRun = false;
  #isClosed = false;

  /**
   * Begins an attempt and returns the function that ends it. Without an end the
   * request counts as one that may have run.
   *
   * @throws {Error} if the request was refused
   */
  begin(): (verdict: Verdict) => void {
    if (this.#isClosed) throw new Error("attempt at a refused request");
    this.#openCount += 1;
    let isOpen = true;
    return (verdict) => {
      if (!isOpen) return;
      isOpen = false;
      this.#openCount -= 1;
      if (verdict !== "not_run") this.#mayHaveRun = true;
    };
  }

  /**
   * Allows no further attempt and returns the proof that none has run; undefined
   * if one may have run, or is still open here, at a relay or at an upstream.
   */
  closeAsNotRun(): NotRunProof | undefined {
    if (this.#mayHaveRun || this.#openCount > 0) return undefined;
    this.#isClosed = true;
    return { [PROOF]: true };
  }
}
