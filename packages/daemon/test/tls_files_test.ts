import { createNoopLoggers } from "@toucantrestle/log";
import { createManualTimer } from "@toucantrestle/timer";
import { expect } from "earl";
import { mkdtempSync, rmSync, unwatchFile, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { after, describe, it } from "node:test";
import type { DaemonSettings } from "../src/settings.ts";
import { awaitTlsFiles, readTlsFiles } from "../src/tls_files.ts";

const folder = mkdtempSync(join(tmpdir(), "tls-"));
const certFile = join(folder, "cert.pem");
const keyFile = join(folder, "key.pem");
const WAIT_MS = 6_000;
const WRITE_INTERVAL_MS = 200;
/** Longer than files are awaited. */
const LONG_MS = 40_000;
const STEP_MS = 200;

writeFileSync(certFile, "cert 1");
writeFileSync(keyFile, "key 1");

after(() => {
  for (const file of [certFile, keyFile]) unwatchFile(file);
  rmSync(folder, { recursive: true, force: true });
});

function createSettings(files: Partial<DaemonSettings>): DaemonSettings {
  return files as DaemonSettings;
}

/** Returns the result; undefined if there is none in time. */
function withinWait<T>(result: Promise<T>): Promise<T | undefined> {
  const timeout = new Promise<undefined>((resolve) =>
    setTimeout(() => resolve(undefined), WAIT_MS)
  );
  return Promise.race([result, timeout]);
}

describe("TLS files", () => {
  it("are not used when none is set", () => {
    expect(readTlsFiles(createSettings({}))).toEqual(undefined);
  });

  it("are rejected when the certificate or its key is missing", () => {
    expect(() => readTlsFiles(createSettings({ tlsKey: keyFile })))
      .toThrow("certificate");
    expect(() => readTlsFiles(createSettings({ tlsCert: certFile })))
      .toThrow("key");
    expect(() => readTlsFiles(createSettings({ tlsCa: certFile })))
      .toThrow("certificate");
  });

  it("are read again when only the key changes", async () => {
    const files = readTlsFiles(
      createSettings({ tlsCert: certFile, tlsKey: keyFile }),
    );
    const changed = new Promise<string>((resolve) =>
      files?.watch((tls) => resolve(tls.key), createNoopLoggers()("tls"))
    );
    // The first check of the file may come after the first write.
    const writer = setInterval(
      () => writeFileSync(keyFile, "key 2"),
      WRITE_INTERVAL_MS,
    );
    const key = await withinWait(changed);
    clearInterval(writer);
    expect(key).toEqual("key 2");
  });

  it("that are missing for a while are reported", async () => {
    const files = readTlsFiles(
      createSettings({ tlsCert: certFile, tlsKey: keyFile }),
    );
    const failed = new Promise<string>((resolve) =>
      files?.watch(() => {}, {
        ...createNoopLoggers()("tls"),
        warn: resolve,
      })
    );
    rmSync(keyFile);
    expect((await withinWait(failed))?.includes("ENOENT")).toEqual(true);
  });

  // Guards against a daemon that waits for ever for its certificate.
  it("that stay incomplete are given up after their time", async () => {
    const timer = createManualTimer();
    const tls = { tlsCert: certFile, tlsKey: join(folder, "none.pem") };
    const files = awaitTlsFiles(createSettings(tls), {
      timer,
      log: createNoopLoggers()("tls"),
    }).catch((err) => err);
    for (let passedMs = 0; passedMs < LONG_MS; passedMs += STEP_MS) {
      await new Promise((resolve) => setImmediate(resolve));
      timer.advance(STEP_MS);
    }
    expect((await files).reason).toEqual("invalid_settings");
  });
});
