import { type ChildProcess, spawn } from "node:child_process";
import { createWriteStream, mkdirSync } from "node:fs";
import { dirname } from "node:path";
import process from "node:process";
import { fileURLToPath } from "node:url";

/** A process started by the harness. */
export interface ManagedProcess {
  readonly name: string;
  readonly pid: number;
  readonly isRunning: boolean;
  /** Sends a signal to this process, not to its children. */
  signal(signal: NodeJS.Signals): void;
  /** Resolves with the exit status, or null if a signal ended the process. */
  readonly exited: Promise<number | null>;
}

/** Describes a Node.js process to start. */
export interface ProcessSpec {
  name: string;
  /** Path of the script to run. */
  script: string;
  /** Flags for Node.js itself, for example for profiling. */
  nodeArgs?: string[];
  /** Flags for the script. */
  args: string[];
  /** Variables added to the environment of the harness. */
  env?: Record<string, string>;
  /** File to which stderr is appended; undefined discards it. */
  logFile: string | undefined;
}

/** Is no module of the build, as it is loaded before the script. */
const END_WITH_PARENT = fileURLToPath(
  new URL("../../../src/harness/end_with_parent.cjs", import.meta.url),
);

const runningProcesses = new Set<ManagedProcess>();

process.on("exit", () => {
  for (const it of runningProcesses) it.signal("SIGKILL");
});

/**
 * Starts a Node.js process, which is killed at the latest when the harness
 * ends, whether it exits or is killed itself.
 */
export function startProcess(spec: ProcessSpec): ManagedProcess {
  const child = spawn(process.execPath, [
    "--require",
    END_WITH_PARENT,
    ...(spec.nodeArgs ?? []),
    spec.script,
    ...spec.args,
  ], {
    stdio: [
      "ignore",
      "ignore",
      spec.logFile === undefined ? "ignore" : "pipe",
      "pipe",
    ],
    env: { ...process.env, ...spec.env },
  });
  if (spec.logFile !== undefined) pipeStderrToFile(child, spec.logFile);
  let isRunning = true;
  const exited = new Promise<number | null>((resolve) => {
    child.on("exit", (status) => {
      isRunning = false;
      runningProcesses.delete(managed);
      resolve(status);
    });
  });
  const managed: ManagedProcess = {
    name: spec.name,
    pid: child.pid ?? 0,
    get isRunning() {
      return isRunning;
    },
    signal: (signal) => {
      if (!isRunning) return;
      child.kill(signal);
      // The process counts as stopped at once, although its exit event arrives
      // later: nothing may be sent to a killed process.
      if (signal === "SIGKILL") isRunning = false;
    },
    exited,
  };
  runningProcesses.add(managed);
  return managed;
}

function pipeStderrToFile(child: ChildProcess, path: string): void {
  mkdirSync(dirname(path), { recursive: true });
  child.stderr?.pipe(createWriteStream(path, { flags: "a" }));
}
