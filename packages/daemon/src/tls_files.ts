import type { HttpTls } from "@toucantrestle/http";
import type { SiblingTls } from "@toucantrestle/sibling";
import type { Logger } from "@toucantrestle/log";
import { BadSettingError } from "@toucantrestle/settings";
import { readFileSync, watchFile } from "node:fs";
import type { DaemonSettings } from "./settings.ts";

const CHECK_INTERVAL_MS = 2_000;

/** TLS certificate and key files of this daemon. */
export interface TlsFiles {
  /** Reads the certificate and key of the HTTP server. */
  readForHttp(): HttpTls;
  /** Reads the files for sibling links; undefined if no CA is configured. */
  readForSiblings(): SiblingTls | undefined;
  /**
   * Calls `onChange` with the certificate and key when one of them changes.
   * Logs a changed file that cannot be read, for instance during a replace.
   */
  watch(onChange: (tls: HttpTls) => void, log: Logger): void;
}

/**
 * Returns the TLS files named in the settings, or undefined if none are.
 *
 * @throws {BadSettingError} if a file is missing that another one needs
 */
export function readTlsFiles(cfg: DaemonSettings): TlsFiles | undefined {
  const { tlsCert, tlsKey, tlsCa } = cfg;
  const isUsed = [tlsCert, tlsKey, tlsCa].some((it) => it !== undefined);
  if (!isUsed) return undefined;
  if (tlsCert === undefined) {
    throw new BadSettingError("TLS needs a certificate: tls-cert is not set");
  }
  if (tlsKey === undefined) {
    throw new BadSettingError("TLS needs a key: tls-key is not set");
  }
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
    watch(onChange, log) {
      const watchOptions = { interval: CHECK_INTERVAL_MS, persistent: false };
      const reload = () => {
        try {
          onChange(readCertAndKey());
        } catch (err) {
          const { message } = err as Error;
          log.warn(`cannot read the changed TLS files: ${message}`);
        }
      };
      for (const file of [tlsCert, tlsKey]) {
        watchFile(file, watchOptions, reload);
      }
    },
  };
}
