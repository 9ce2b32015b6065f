import type { Digest, FrontNews, FrontReport } from "../protocol.ts";
import { isFrontState } from "./read_gossip.ts";

/** What a digest of an earlier build says, in the terms of this one. */
export interface DigestContent {
  host: string;
  report: FrontReport;
  news: FrontNews[];
}

/**
 * Reads the digest of a front of an earlier build.
 *
 * @throws {TypeError} if it is malformed
 */
export function readDigest(digest: Digest): DigestContent {
  if (!isFrontState(digest.state)) {
    throw new TypeError(`state of a front is unknown: ${digest.state}`);
  }
  const { host, crashes, notices = [], configVersion } = digest;
  const report: FrontReport = {
    state: digest.state,
    reachesTurnStores: digest.reachesTurnStores,
    reachesUpstreams: digest.reachesUpstreams === true,
    // It broadcasts nothing of what it reads there.
    reachesStore: false,
  };
  const crashNews: FrontNews[] = crashes.flatMap(
    ({ fingerprint, upstreams }) =>
      upstreams.map((upstream) => ({ kind: "crash", fingerprint, upstream })),
  );
  const noticeNews: FrontNews[] = notices.map((notice) => ({
    kind: "notice",
    notice,
  }));
  const config: FrontNews = { kind: "config", version: configVersion };
  return { host, report, news: [config, ...noticeNews, ...crashNews] };
}

/** Creates the digest that fronts of an earlier build expect. */
export function createDigest(
  host: string,
  { report, news, configVersion }: {
    report: FrontReport;
    news: FrontNews[];
    configVersion: number;
  },
): Digest {
  return {
    host,
    state: report.state,
    reachesTurnStores: report.reachesTurnStores,
    reachesUpstreams: report.reachesUpstreams,
    configVersion,
    crashes: news.filter((it) => it.kind === "crash")
      .map(({ fingerprint, upstream }) => ({
        fingerprint,
        upstreams: [upstream],
      })),
    notices: news.filter((it) => it.kind === "notice")
      .map(({ notice }) => notice),
  };
}
