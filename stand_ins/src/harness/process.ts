import { type ChildProcess, spawn } from "node:child_process";
import { createWriteStream, mkdirSync } from "node:fs";
import { dirname } from "node:path";
import process from "node:process";

/** A process that the harness started. */
export interface ManagedProcess {
  readonly name: string;
  readonly pid: number;
  /** Whether it still runs. */
  readonly isRunning: boolean;
  /** Sends a signal to this process alone. */
  signal(signal: NodeJS.Signals): void;
  /** Resolves with the exit status, null after a signal. */
  readonly exited: Promise<number | null>;
}

/** What to start. */
export interface ProcessSpec {
  name: string;
  /** Script for Node.js. */
  script: string;
  /** Flags for Node.js itself, for instance to profile. */
  nodeArgs?: string[];
  args: string[];
  env?: Record<string, string>;
  /** File for its standard error; none to drop it. */
  logFile: string | undefined;
}

const all = new Set<ManagedProcess>();

process.on("exit", () => {
  for (const it of all) it.signal("SIGKILL");
});

/** Starts a process. */
export function startProcess(spec: ProcessSpec): ManagedProcess {
  const child = spawn(process.execPath, [
    ...(spec.nodeArgs ?? []),
    spec.script,
    ...spec.args,
  ], {
    stdio: ["ignore", "ignore", spec.logFile === undefined ? "ignore" : "pipe"],
    env: { ...process.env, ...spec.env },
  });
  if (spec.logFile !== undefined) writeLog(child, spec.logFile);
  let isRunning = true;
  const exited = new Promise<number | null>((resolve) => {
    child.on("exit", (status) => {
      isRunning = false;
      all.delete(managed);
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
      // Nobody may be sent to it any more, though its exit shows later.
      if (signal === "SIGKILL") isRunning = false;
    },
    exited,
  };
  all.add(managed);
  return managed;
}

function writeLog(child: ChildProcess, path: string): void {
  mkdirSync(dirname(path), { recursive: true });
  child.stderr?.pipe(createWriteStream(path, { flags: "a" }));
}
