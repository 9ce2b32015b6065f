import type { UpstreamLoad } from "@toucantrestle/routing";

/** Part of an upstream's load that one attempt causes while it runs. */
export class LoadShare {
  readonly #load: UpstreamLoad;
  readonly #onLoadChange: () => void;
  /** Prompt tokens of the attempt that wait for prefill. */
  #prefillTokens: number;

  constructor(
    load: UpstreamLoad,
    opts: { uncachedTokens: number; onLoadChange: () => void },
  ) {
    this.#load = load;
    this.#onLoadChange = opts.onLoadChange;
    this.#prefillTokens = opts.uncachedTokens;
    load.running += 1;
    load.prefillTokens += opts.uncachedTokens;
    this.#onLoadChange();
  }

  /** Subtracts the prompt, which the upstream has processed. */
  endPrefill(): void {
    // Services prefill nothing, so nothing changes at their first byte.
    if (this.#prefillTokens === 0) return;
    this.#subtractPrefill();
    this.#onLoadChange();
  }

  /** Subtracts the attempt, which has ended; called once. */
  end(): void {
    this.#load.running -= 1;
    this.#subtractPrefill();
    this.#onLoadChange();
  }

  #subtractPrefill(): void {
    this.#load.prefillTokens -= this.#prefillTokens;
    this.#prefillTokens = 0;
  }
}
