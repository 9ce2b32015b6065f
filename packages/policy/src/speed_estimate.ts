/** Base weight of a new sample in the exponential moving averages. */
const SMOOTHING_FACTOR = 0.05;

/** Initial values, typical of a small model. */
const INITIAL_PREFILL_MS_PER_TOKEN = 0.125;
const INITIAL_DECODE_MS_PER_TOKEN = 12;

/** Moving averages of the speed of a model's engines, from finished calls. */
export class SpeedEstimate {
  /** Prefill time per prompt token, in ms. */
  prefillMsPerToken = INITIAL_PREFILL_MS_PER_TOKEN;
  /** Decode time per output token, in ms. */
  decodeMsPerToken = INITIAL_DECODE_MS_PER_TOKEN;

  /** Updates the averages with a finished call. Sizes are in tokens. */
  update(
    sample: {
      uncachedTokens: number;
      firstTokenMs: number;
      outputTokens: number;
      decodeMs: number;
    },
  ): void {
    if (sample.outputTokens > 1) {
      const decodeMsPerToken = sample.decodeMs / (sample.outputTokens - 1);
      this.decodeMsPerToken += SMOOTHING_FACTOR *
        (decodeMsPerToken - this.decodeMsPerToken);
    }
    if (sample.uncachedTokens < 100) return;
    const msPerToken = sample.firstTokenMs / sample.uncachedTokens;
    // The time to first token includes queueing in the engine, so only a faster
    // sample is evidence of the prefill speed. A slower one has little weight.
    const weight = msPerToken < this.prefillMsPerToken
      ? 4 * SMOOTHING_FACTOR
      : 0.002;
    this.prefillMsPerToken += weight * (msPerToken - this.prefillMsPerToken);
  }
}
