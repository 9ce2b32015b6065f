import { expect } from "earl";
import { describe, it } from "node:test";
import { SpeedEstimate, type SpeedSample } from "../src/mod.ts";

const PREFILL_MS_PER_TOKEN = 0.013;
const DECODE_MS_PER_TOKEN = 2.7;

describe("speed estimate", () => {
  it("learns the speed of an engine ten times faster than the start value", () => {
    const speed = learnFrom(150, () => createSample());
    expect(relativeError(speed)).toBeLessThan(0.3);
  });

  it("burst: most samples are lengthened by queueing", () => {
    const speed = learnFrom(
      400,
      (i) => createSample({ queueMs: i % 5 < 2 ? 0 : 90 }),
    );
    expect(relativeError(speed)).toBeLessThan(0.6);
  });

  it("survives samples of 0 ms, from events that arrive together", () => {
    const speed = learnFrom(
      400,
      (i) => i % 10 === 0 ? createSample({ scale: 0 }) : createSample(),
    );
    expect(relativeError(speed)).toBeLessThan(0.3);
  });

  it("ignores samples that are too small to measure a speed", () => {
    const speed = learnFrom(
      100,
      () => createSample({ uncachedTokens: 20, outputTokens: 4, scale: 50 }),
    );
    const initial = new SpeedEstimate();
    expect(speed.prefillMsPerToken).toEqual(initial.prefillMsPerToken);
    expect(speed.idleDecodeMsPerToken).toEqual(initial.idleDecodeMsPerToken);
  });
});

function learnFrom(
  count: number,
  sampleAt: (i: number) => SpeedSample,
): SpeedEstimate {
  const speed = new SpeedEstimate();
  for (let i = 0; i < count; i++) speed.update(sampleAt(i));
  return speed;
}

function createSample(
  opts: {
    uncachedTokens?: number;
    outputTokens?: number;
    queueMs?: number;
    /** Factor on all durations. */
    scale?: number;
  } = {},
): SpeedSample {
  const { uncachedTokens = 650, outputTokens = 73, queueMs = 0, scale = 1 } =
    opts;
  return {
    uncachedTokens,
    outputTokens,
    firstTokenMs: scale * (queueMs + uncachedTokens * PREFILL_MS_PER_TOKEN),
    decodeMs: scale * (queueMs + (outputTokens - 1) * DECODE_MS_PER_TOKEN),
  };
}

/** Returns the larger relative error of both estimates. */
function relativeError(speed: SpeedEstimate): number {
  const prefill = speed.prefillMsPerToken / PREFILL_MS_PER_TOKEN;
  const decode = speed.idleDecodeMsPerToken / DECODE_MS_PER_TOKEN;
  return Math.max(Math.abs(prefill - 1), Math.abs(decode - 1));
}
