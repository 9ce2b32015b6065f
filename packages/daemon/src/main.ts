#!/usr/bin/env node
/**
 * toucantrestled: the scheduler daemon.
 *
 * @module
 */
import { takeSignals } from "@toucantrestle/lifecycle/signals";

// Signals are taken before the other modules are loaded.
takeSignals();
const { runDaemon } = await import("./run.ts");
await runDaemon();
