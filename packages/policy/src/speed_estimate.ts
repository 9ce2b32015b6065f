/** Base weight of a new sample in the exponential moving averages. */
const SMOOTHING_FACTOR = 0.05;
/**
 * Quantile of the samples that counts as the speed of an idle engine. Queueing
 * only ever lengthens a sample, so the mean would depend on the load.
 */
const IDLE_QUANTILE = 0.3;
/** Relative change of a quantile estimate by one sample. */
const QUANTILE_STEP = 0.08;
/** Smaller samples say little about the speed, in tokens. */
const MIN_PREFILL_SAMPLE_TOKENS = 300;
const MIN_DECODE_SAMPLE_TOKENS = 16;

/** Initial values, typical of a small model. */
const INITIAL_PREFILL_MS_PER_TOKEN = 0.125;
const INITIAL_DECODE_MS_PER_TOKEN = 12;

/** Speed of a finished engine call. Sizes are in tokens, times in ms. */
export interface SpeedSample {
  uncachedTokens: number;
  firstTokenMs: number;
  outputTokens: number;
  decodeMs: number;
}

/** Moving averages of the speed of a model's engines, from finished calls. */
export class SpeedEstimate {
  /** Prefill time per prompt token on an idle engine, in ms. */
  prefillMsPerToken = INITIAL_PREFILL_MS_PER_TOKEN;
  /** Decode time per output token under the present load, in ms. */
  decodeMsPerToken = INITIAL_DECODE_MS_PER_TOKEN;
  /** Decode time per output token on an idle engine, in ms. */
  idleDecodeMsPerToken = INITIAL_DECODE_MS_PER_TOKEN;

  /** Updates the averages with a finished call. */
  update(sample: SpeedSample): void {
    if (sample.outputTokens > 1) {
      const decodeMsPerToken = sample.decodeMs / (sample.outputTokens - 1);
      this.decodeMsPerToken += SMOOTHING_FACTOR *
        (decodeMsPerToken - this.decodeMsPerToken);
      if (sample.outputTokens >= MIN_DECODE_SAMPLE_TOKENS) {
        this.idleDecodeMsPerToken = trackQuantile(
          this.idleDecodeMsPerToken,
          decodeMsPerToken,
        );
      }
    }
    if (sample.uncachedTokens < MIN_PREFILL_SAMPLE_TOKENS) return;
    this.prefillMsPerToken = trackQuantile(
      this.prefillMsPerToken,
      sample.firstTokenMs / sample.uncachedTokens,
    );
  }
}

/** Moves an estimate up or down so that it approaches the idle quantile. */
function trackQuantile(estimate: number, sample: number): number {
  const isFaster = sample < estimate;
  const direction = isFaster ? IDLE_QUANTILE - 1 : IDLE_QUANTILE;
  return estimate * (1 + QUANTILE_STEP * direction);
}
