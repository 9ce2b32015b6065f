import { expect } from "earl";
import { type ChildProcess, spawn } from "node:child_process";
import { readFileSync } from "node:fs";
import process from "node:process";
import { afterEach, describe, it } from "node:test";
import { setTimeout as delay } from "node:timers/promises";
import { fileURLToPath } from "node:url";

const REPOSITORY = fileURLToPath(new URL("../../../", import.meta.url));
const DEMO = fileURLToPath(
  new URL("../../../demo/dist/src/main.js", import.meta.url),
);
/** Three daemons, four upstreams, three services of the platform. */
const CHILD_COUNT = 10;
const START_TIMEOUT_MS = 60_000;
const END_TIMEOUT_MS = 5_000;
const POLL_MS = 50;

const demos: ChildProcess[] = [];
let started: Process[] = [];

afterEach(() => {
  for (const it of demos.splice(0)) it.kill("SIGKILL");
  // Only what a failed test has left; an id may belong to others by now.
  for (const it of started) if (isRunning(it)) process.kill(it.pid, "SIGKILL");
  started = [];
});

/** A process by its id and the time of its start, as an id is used again. */
interface Process {
  pid: number;
  startedAt: string;
}

/** Starts a demo, and resolves once it has run its workloads. */
async function startDemo(): Promise<ChildProcess> {
  const demo = spawn(process.execPath, [DEMO, "--keep"], {
    cwd: REPOSITORY,
    stdio: ["ignore", "pipe", "pipe"],
  });
  demos.push(demo);
  let text = "";
  demo.stdout.on("data", (chunk) => text += chunk);
  demo.stderr.on("data", (chunk) => text += chunk);
  const deadline = performance.now() + START_TIMEOUT_MS;
  while (!text.includes("press Ctrl-C to stop")) {
    if (performance.now() > deadline || demo.exitCode !== null) {
      throw new Error(`the demo did not start: ${text}`);
    }
    await delay(POLL_MS);
  }
  return demo;
}

function listChildren({ pid }: ChildProcess): Process[] {
  const path = `/proc/${pid}/task/${pid}/children`;
  const pids = readFileSync(path, "utf8").trim().split(" ").filter((it) =>
    it !== ""
  )
    .map(Number);
  return pids.map((it) => ({ pid: it, startedAt: readStart(it) ?? "" }));
}

/** Returns when a process started, in ticks; undefined if it has ended. */
function readStart(pid: number): string | undefined {
  try {
    const stat = readFileSync(`/proc/${pid}/stat`, "utf8");
    const fields = stat.slice(stat.lastIndexOf(")") + 2).split(" ");
    return fields[0] === "Z" ? undefined : fields[19];
  } catch {
    return undefined;
  }
}

function isRunning({ pid, startedAt }: Process): boolean {
  return readStart(pid) === startedAt;
}

async function waitForEnds(processes: Process[]): Promise<void> {
  const deadline = performance.now() + END_TIMEOUT_MS;
  while (processes.some(isRunning) && performance.now() < deadline) {
    await delay(POLL_MS);
  }
}

describe("demo that keeps its processes running", () => {
  for (const name of ["SIGTERM", "SIGINT", "SIGHUP", "SIGKILL"] as const) {
    // Guards against daemons and stand-ins that run on without their demo.
    it(`ends them when it ends by ${name}`, async () => {
      const demo = await startDemo();
      started = listChildren(demo);
      expect(started.length).toEqual(CHILD_COUNT);
      demo.kill(name);
      await waitForEnds(started);
      expect(started.filter(isRunning)).toEqual([]);
    });
  }

  // Guards against daemons that run on if the demo ends before it is ready.
  it("ends them when it is killed while they start", async () => {
    const demo = spawn(process.execPath, [DEMO, "--keep"], {
      cwd: REPOSITORY,
      stdio: "ignore",
    });
    demos.push(demo);
    const deadline = performance.now() + START_TIMEOUT_MS;
    while (performance.now() < deadline && started.length < CHILD_COUNT) {
      await delay(POLL_MS);
      started = listChildren(demo);
    }
    demo.kill("SIGKILL");
    await waitForEnds(started);
    expect(started.filter(isRunning)).toEqual([]);
  });
});
