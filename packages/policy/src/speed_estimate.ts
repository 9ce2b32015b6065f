const SMOOTHING = 0.05;

/** Starting values that resemble a small model. */
const INITIAL_PREFILL_MS_PER_TOKEN = 0.125;
const INITIAL_TOKEN_MS = 12;

/** Smoothed speeds of a model's engines, from finished calls. */
export class SpeedEstimate {
  /** Time to compute one prompt token, in ms. */
  prefillMsPerToken = INITIAL_PREFILL_MS_PER_TOKEN;
  /** Time between two output tokens, in ms. */
  tokenMs = INITIAL_TOKEN_MS;

  /** Learns from a finished call. */
  learn(
    sample: {
      uncachedTokens: number;
      firstTokenMs: number;
      outputTokens: number;
      decodeMs: number;
    },
  ): void {
    if (sample.outputTokens > 1) {
      const tokenMs = sample.decodeMs / (sample.outputTokens - 1);
      this.tokenMs += SMOOTHING * (tokenMs - this.tokenMs);
    }
    if (sample.uncachedTokens < 100) return;
    const perToken = sample.firstTokenMs / sample.uncachedTokens;
    // A first token also waits in the engine's queue: only faster is surprising.
    const step = perToken < this.prefillMsPerToken ? 4 * SMOOTHING : 0.002;
    this.prefillMsPerToken += step * (perToken - this.prefillMsPerToken);
  }
}
