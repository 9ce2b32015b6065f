import type { HttpTls } from "@toucantrestle/http";
import { awaitDependency, type AwaitOptions } from "@toucantrestle/lifecycle";
import type { SiblingTls } from "@toucantrestle/sibling";
import type { Logger } from "@toucantrestle/log";
import { BadSettingError } from "@toucantrestle/settings";
import { readFileSync, watchFile } from "node:fs";
import { createSecureContext } from "node:tls";
import type { DaemonSettings } from "./settings.ts";

const CHECK_INTERVAL_MS = 2_000;
/** Time in which missing or incomplete files are awaited, in ms. */
const FILES_TIMEOUT_MS = 30_000;
const FILES_RETRY_MS = 200;

/** TLS certificate and key files of this daemon. */
export interface TlsFiles {
  /** Certificate and key of the HTTP server, as read at the start. */
  http: HttpTls;
  /** Files for sibling links; undefined if no CA is configured. */
  siblings: SiblingTls | undefined;
  /**
   * Calls `onChange` with the certificate and key when one of them changes.
   * Logs a changed file that cannot be read, for instance during a replace.
   */
  watch(onChange: (tls: HttpTls) => void, log: Logger): void;
}

/**
 * Returns the TLS files named in the settings once all of them can be used, or
 * undefined if none is named.
 *
 * @throws {ExitError} if they stay unusable, or a file is not named that another
 * one needs
 * @throws {StoppedWaitingError} if the process stops meanwhile
 */
export function awaitTlsFiles(
  cfg: DaemonSettings,
  opts: AwaitOptions,
): Promise<TlsFiles | undefined> {
  return awaitDependency({
    name: "TLS files",
    attempt: () => {
      const files = readTlsFiles(cfg);
      if (files) checkTls(files.siblings ?? files.http);
      return files;
    },
    isTemporary: (err) => !(err instanceof BadSettingError),
    timeoutMs: FILES_TIMEOUT_MS,
    retryMs: FILES_RETRY_MS,
    reason: "invalid_settings",
  }, opts);
}

/**
 * Reads the TLS files named in the settings; undefined if none are.
 *
 * @throws {BadSettingError} if a file is not named that another one needs
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
  const http = readCertAndKey();
  return {
    http,
    siblings: tlsCa === undefined
      ? undefined
      : { ...http, ca: readFileSync(tlsCa, "utf8") },
    watch(onChange, log) {
      const watchOptions = { interval: CHECK_INTERVAL_MS, persistent: false };
      const reload = () => {
        try {
          onChange(readCertAndKey());
        } catch (err) {
          const { message } = err as Error;
          log.warn(`cannot use the changed TLS files: ${message}`);
        }
      };
      for (const file of [tlsCert, tlsKey]) {
        watchFile(file, watchOptions, reload);
      }
    },
  };
}

/** Throws if a file is incomplete, or the key is that of another certificate. */
function checkTls(tls: HttpTls | SiblingTls): void {
  createSecureContext(tls);
}
