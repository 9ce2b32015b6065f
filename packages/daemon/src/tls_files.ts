import type { HttpTls } from "@toucantrestle/http";
import type { SiblingTls } from "@toucantrestle/sibling";
import { readFileSync, watchFile } from "node:fs";
import type { DaemonSettings } from "./settings.ts";

const CHECK_INTERVAL_MS = 2_000;

/** TLS certificate and key files of this daemon. */
export interface TlsFiles {
  /** Reads the certificate and key of the HTTP server. */
  readForHttp(): HttpTls;
  /** Reads the files for sibling links; undefined if no CA is configured. */
  readForSiblings(): SiblingTls | undefined;
  /** Calls `fn` with the new certificate and key when `tlsCert` changes. */
  watch(fn: (tls: HttpTls) => void): void;
}

/** Returns the TLS files named in the settings, or undefined if none are. */
export function readTlsFiles(cfg: DaemonSettings): TlsFiles | undefined {
  const { tlsCert, tlsKey, tlsCa } = cfg;
  if (tlsCert === undefined || tlsKey === undefined) return undefined;
  const readCertAndKey = () => ({
    cert: readFileSync(tlsCert, "utf8"),
    key: readFileSync(tlsKey, "utf8"),
  });
  readCertAndKey();
  return {
    readForHttp: readCertAndKey,
    readForSiblings: () =>
      tlsCa === undefined
        ? undefined
        : { ...readCertAndKey(), ca: readFileSync(tlsCa, "utf8") },
    watch(fn) {
      watchFile(
        tlsCert,
        { interval: CHECK_INTERVAL_MS, persistent: false },
        () => {
          fn(readCertAndKey());
        },
      );
    },
  };
}
