import type { CrashReport, SuccessReport } from "@toucantrestle/routing";
import type { CrashNews, SuccessNews } from "../protocol.ts";

/** Longest fingerprint and longest key of a process, in characters. */
const MAX_TEXT_LENGTH = 512;

/**
 * Reads the news of a crash. Fronts of earlier builds do not say how old it is,
 * and send only what is recent.
 *
 * @throws {TypeError} if the news are malformed
 */
export function readCrashNews(news: CrashNews): CrashReport {
  const { fingerprint, upstream, ageMs = 0 } = news;
  if (!isText(fingerprint) || !isText(upstream)) {
    throw new TypeError("fingerprint or upstream is not a short text");
  }
  checkAge(ageMs);
  return { fingerprint, upstream, ageMs };
}

/**
 * Reads the news of a success.
 *
 * @throws {TypeError} if the news are malformed
 */
export function readSuccessNews(news: SuccessNews): SuccessReport {
  const { fingerprint, ageMs } = news;
  if (!isText(fingerprint)) {
    throw new TypeError("fingerprint is not a short text");
  }
  checkAge(ageMs);
  return { fingerprint, ageMs };
}

/** Returns the news of a success. */
export function toSuccessNews(report: SuccessReport): SuccessNews {
  return { kind: "success", ...report };
}

/** Returns the news of a crash. */
export function toCrashNews(report: CrashReport): CrashNews {
  return { kind: "crash", ...report };
}

function isText(value: unknown): boolean {
  return typeof value === "string" && value.length <= MAX_TEXT_LENGTH;
}

function checkAge(ageMs: unknown): void {
  if (Number.isFinite(ageMs) && Number(ageMs) >= 0) return;
  throw new TypeError(`age is not a time in ms: ${ageMs}`);
}
