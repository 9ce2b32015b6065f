/**
 * Starts three daemons and the stand-ins of the external systems on loopback,
 * runs the sample workloads, and checks that every service call was executed
 * exactly once. `--keep` leaves the processes running until a signal ends the
 * demo; they end with it, however it ends.
 *
 * @module
 */
import { CallerClient } from "@toucantrestle/caller_client";
import { handleOutputErrors } from "@toucantrestle/lifecycle";
import type { OperatorClient } from "@toucantrestle/operator";
import { Fleet, OPERATOR_KEY } from "@toucantrestle/stand_ins";
import { formatEvent } from "@toucantrestle/timeline";
import process from "node:process";
import {
  applyTable,
  connectOperator,
  SAMPLE_FLEET,
  waitForRevision,
} from "./deployment.ts";
import { findExecutionErrors } from "./find_execution_errors.ts";
import { type ProgramResult, runProgram } from "./run_program.ts";
import { readWorkload } from "./workload.ts";

const WORKLOADS = ["samples/interest.yaml", "samples/dispatch.yaml"];
const END_SIGNALS = ["SIGINT", "SIGTERM", "SIGHUP"] as const;
const RETRY_TIMEOUT_MS = 30_000;

/** API keys of the sample callers, keyed by caller name. */
type KeysByCaller = Map<string, string>;

handleOutputErrors("demo");
const fleet = new Fleet({ ...SAMPLE_FLEET, logFolder: "out/demo" });
const isKeptRunning = process.argv.includes("--keep");
let status = 1;
try {
  status = await runDemo();
} catch (err) {
  console.error(err);
}
if (isKeptRunning && status === 0) await waitForSignal();
await fleet.stop();
process.exit(status);

async function runDemo(): Promise<number> {
  const startedAt = performance.now();
  printLine("starting 3 daemons and the stand-ins");
  await fleet.start();
  const operator = connectOperator(fleet);
  const revision = await applyTable(fleet, operator, "samples/table.yaml");
  await waitForRevision(operator, { revision, hosts: fleet.daemons.size });
  await fleet.waitUntilReady();
  printLine(`table revision ${revision} is active on every daemon`);
  const keys = await createKeys(operator);
  const results = await runWorkloads(keys);
  await printTimeline(operator, results);
  const errors = await findExecutionErrors(fleet, results);
  for (const error of errors) printLine(`ERROR: ${error}`);
  const seconds = ((performance.now() - startedAt) / 1_000).toFixed(1);
  printLine(
    `${results.length} programs finished, ${errors.length} errors, ${seconds} s`,
  );
  if (isKeptRunning) printConnectionDetails(keys);
  return errors.length === 0 ? 0 : 1;
}

async function createKeys(operator: OperatorClient): Promise<KeysByCaller> {
  const keys: KeysByCaller = new Map();
  for (const caller of ["branches", "bulk-posting", "dispatch"]) {
    keys.set(caller, await operator.createKey(caller, "caller"));
  }
  return keys;
}

async function runWorkloads(keys: KeysByCaller): Promise<ProgramResult[]> {
  const addresses = [...fleet.daemons.values()].map((it) => it.address);
  const running: Promise<ProgramResult>[] = [];
  for (const path of WORKLOADS) {
    printLine(`running ${path}`);
    for (const spec of readWorkload(path).programs) {
      const client = new CallerClient({
        addresses,
        key: keys.get(spec.caller) ?? "",
        retryTimeoutMs: RETRY_TIMEOUT_MS,
      });
      for (let i = 0; i < spec.count; i++) {
        running.push(runAndPrint(client, spec));
      }
    }
  }
  return await Promise.all(running);
}

async function runAndPrint(
  client: CallerClient,
  spec: Parameters<typeof runProgram>[1],
): Promise<ProgramResult> {
  const result = await runProgram(client, spec);
  const cachedPercent = Math.round(
    100 * result.cachedTokens / result.promptTokens,
  );
  printLine(
    `${result.program} ${result.name}: ${result.turns} turns, ` +
      `${Math.round(result.latencyMs)} ms, ${result.outputTokens} tokens, ` +
      `${cachedPercent}% of prompt tokens from cache`,
  );
  return result;
}

async function printTimeline(
  operator: OperatorClient,
  results: ProgramResult[],
): Promise<void> {
  const selected = results.find((it) => it.name === "intake") ?? results[0];
  if (!selected) return;
  printLine(`timeline of program ${selected.program}:`);
  for (const event of await operator.timeline({ program: selected.program })) {
    printLine(`  ${formatEvent(event)}`);
  }
}

function printConnectionDetails(keys: KeysByCaller): void {
  for (const daemon of fleet.daemons.values()) {
    printLine(`daemon ${daemon.name} listens at http://${daemon.address}`);
  }
  for (const [name, key] of keys) printLine(`key of caller ${name}: ${key}`);
  printLine(`key of an operator: ${OPERATOR_KEY}`);
  printLine("press Ctrl-C to stop");
}

async function waitForSignal(): Promise<void> {
  await new Promise((resolve) => {
    for (const it of END_SIGNALS) process.once(it, resolve);
  });
}

function printLine(line: string): void {
  process.stdout.write(line + "\n");
}
