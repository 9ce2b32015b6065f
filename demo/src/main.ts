/**
 * Starts three daemons and stand-ins on loopback, runs the sample workloads
 * and checks what was executed. `--keep` leaves everything running.
 *
 * @module
 */
import { CallerClient } from "@toucantrestle/caller_client";
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
import { findFaults } from "./findings.ts";
import { type ProgramResult, runProgram } from "./run_program.ts";
import { readWorkload } from "./workload.ts";

const WORKLOADS = ["samples/interest.yaml", "samples/dispatch.yaml"];
const PATIENCE_MS = 30_000;

/** Keys of the sample's callers, by name. */
type CallerKeys = Map<string, string>;

const fleet = new Fleet({ ...SAMPLE_FLEET, logFolder: "out/demo" });
const keep = process.argv.includes("--keep");
let status = 1;
try {
  status = await runDemo();
} catch (err) {
  console.error(err);
}
if (keep && status === 0) await waitForInterrupt();
await fleet.stop();
process.exit(status);

async function runDemo(): Promise<number> {
  const startedAt = performance.now();
  say("starting 3 daemons and their stand-ins");
  await fleet.start();
  const operator = connectOperator(fleet);
  const revision = await applyTable(fleet, operator, "samples/table.yaml");
  await waitForRevision(operator, { revision, hosts: fleet.daemons.size });
  await fleet.waitUntilReady();
  say(`table revision ${revision} is in force on every daemon`);
  const keys = await createKeys(operator);
  const results = await runWorkloads(keys);
  await printTimeline(operator, results);
  const faults = await findFaults(fleet, results);
  for (const fault of faults) say(`FAULT: ${fault}`);
  const seconds = ((performance.now() - startedAt) / 1_000).toFixed(1);
  say(
    `${results.length} programs finished in order, ${faults.length} faults, ${seconds} s`,
  );
  if (keep) printAddresses(keys);
  return faults.length === 0 ? 0 : 1;
}

async function createKeys(operator: OperatorClient): Promise<CallerKeys> {
  const keys: CallerKeys = new Map();
  for (const caller of ["branches", "bulk-posting", "dispatch"]) {
    keys.set(caller, await operator.createKey(caller, "caller"));
  }
  return keys;
}

async function runWorkloads(keys: CallerKeys): Promise<ProgramResult[]> {
  const addresses = [...fleet.daemons.values()].map((it) => it.address);
  const running: Promise<ProgramResult>[] = [];
  for (const path of WORKLOADS) {
    say(`running ${path}`);
    for (const spec of readWorkload(path).programs) {
      const client = new CallerClient({
        addresses,
        key: keys.get(spec.caller) ?? "",
        retryTimeoutMs: PATIENCE_MS,
      });
      for (let i = 0; i < spec.count; i++) {
        running.push(runAndSay(client, spec));
      }
    }
  }
  return await Promise.all(running);
}

async function runAndSay(
  client: CallerClient,
  spec: Parameters<typeof runProgram>[1],
): Promise<ProgramResult> {
  const result = await runProgram(client, spec);
  const reuse = Math.round(100 * result.cachedTokens / result.promptTokens);
  say(
    `${result.program} ${result.name}: ${result.turns} turns, ` +
      `${Math.round(result.latencyMs)} ms, ${result.outputTokens} tokens, ` +
      `${reuse}% of the prompt from cache`,
  );
  return result;
}

async function printTimeline(
  operator: OperatorClient,
  results: ProgramResult[],
): Promise<void> {
  const shown = results.find((it) => it.name === "intake") ?? results[0];
  if (!shown) return;
  say(`time line of ${shown.program}:`);
  for (const event of await operator.timeline({ program: shown.program })) {
    say(`  ${formatEvent(event)}`);
  }
}

function printAddresses(keys: CallerKeys): void {
  for (const daemon of fleet.daemons.values()) {
    say(`${daemon.name} listens at http://${daemon.address}`);
  }
  for (const [name, key] of keys) say(`key of caller ${name}: ${key}`);
  say(`key of an operator: ${OPERATOR_KEY}`);
  say("end with Ctrl-C");
}

async function waitForInterrupt(): Promise<void> {
  await new Promise((resolve) => process.once("SIGINT", resolve));
}

function say(line: string): void {
  process.stdout.write(line + "\n");
}
