#!/usr/bin/env node
/**
 * toucantrestled: the scheduler daemon.
 *
 * @module
 */
import process from "node:process";
import { Daemon } from "./daemon.ts";
import { readDaemonSettings } from "./settings.ts";

try {
  const daemon = new Daemon(readDaemonSettings(import.meta));
  daemon.onStopped(() => process.exit(0));
  process.on("SIGTERM", () => daemon.stop());
  process.on("SIGINT", () => daemon.stop());
  await daemon.start();
} catch (err) {
  const message = err instanceof Error ? err.message : String(err);
  process.stderr.write(`toucantrestled: cannot start: ${message}\n`);
  process.exit(1);
}
