import type { HttpTls } from "@toucantrestle/http";
import type { SiblingTls } from "@toucantrestle/sibling";
import { readFileSync, watchFile } from "node:fs";
import type { DaemonSettings } from "./settings.ts";

const CHECK_MS = 2_000;

/** Certificate files of this daemon. */
export interface TlsFiles {
  current(): HttpTls;
  forSiblings(): SiblingTls | undefined;
  /** Calls `fn` with the new files after one was changed. */
  watch(fn: (tls: HttpTls) => void): void;
}

/** Reads the certificate files that the settings name, if they do. */
export function readTlsFiles(cfg: DaemonSettings): TlsFiles | undefined {
  const { tlsCert, tlsKey, tlsCa } = cfg;
  if (tlsCert === undefined || tlsKey === undefined) return undefined;
  const current = () => ({
    cert: readFileSync(tlsCert, "utf8"),
    key: readFileSync(tlsKey, "utf8"),
  });
  current();
  return {
    current,
    forSiblings: () =>
      tlsCa === undefined
        ? undefined
        : { ...current(), ca: readFileSync(tlsCa, "utf8") },
    watch(fn) {
      watchFile(tlsCert, { interval: CHECK_MS, persistent: false }, () => {
        fn(current());
      });
    },
  };
}
