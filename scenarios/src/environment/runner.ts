import { Fleet } from "@toucantrestle/stand_ins";
import { checkHistory, type Violation } from "../history/checker.ts";
import type { CallRecord, EditRecord } from "../history/history.ts";
import type { HostRef, Step, StepBody } from "../language/step.ts";
import { createFleetSpec } from "./table.ts";
import {
  type RecordedProgram,
  sleep,
  TestEnvironment,
} from "./test_environment.ts";

/**
 * Thrown when an expectation of a script is not met, a step exceeds its time
 * limit, or a step uses a name that is not defined.
 */
export class ExpectationError extends Error {
  override name = "ExpectationError";
}

/** State shared by the steps of a scenario. */
interface StepContext {
  logFolder: string;
  environment: TestEnvironment | undefined;
  programs: Map<string, RecordedProgram>;
  /** Host names by `let` name, and baseline execution counts by `work on NAME`. */
  bindings: Map<string, string>;
  /** Background calls, edits and drains, by label. */
  running: Map<string, Promise<CallRecord | EditRecord | void>>;
  /** Latest result of foreground calls and edits, by program or row. */
  results: Map<string, CallRecord | EditRecord>;
}

type StepHandlers = {
  [K in StepBody["kind"]]: (
    step: Extract<StepBody, { kind: K }>,
    ctx: StepContext,
  ) => Promise<void> | void;
};

const POLL_MS = 50;
const STEP_TIMEOUT_MS = 60_000;

const HANDLERS: StepHandlers = {
  fleet: async (step, ctx) => {
    const spec = createFleetSpec({ ...step, logFolder: ctx.logFolder });
    ctx.environment = new TestEnvironment(spec);
    await ctx.environment.start();
  },
  let: async (step, ctx) => {
    ctx.bindings.set(step.name, await resolveHost(ctx, step.host));
  },
  start: async (step, ctx) => {
    const parent = step.parent === null
      ? undefined
      : requireProgram(ctx, step.parent);
    const program = await requireEnvironment(ctx).startProgram(step.caller, {
      budget: step.budget ?? undefined,
      parent,
    });
    ctx.programs.set(step.program, program);
  },
  chat: (step, ctx) => {
    const program = requireProgram(ctx, step.program);
    const call = () =>
      requireEnvironment(ctx).chat(program, step.text, step.streamed);
    return runCall(ctx, { program: step.program, label: step.label, call });
  },
  post: (step, ctx) => {
    const program = requireProgram(ctx, step.program);
    const call = () => requireEnvironment(ctx).post(program, step.route);
    return runCall(ctx, { program: step.program, label: step.label, call });
  },
  end: (step, ctx) =>
    requireEnvironment(ctx).endProgram(requireProgram(ctx, step.program)),
  signal: async (step, ctx) => {
    const name = await resolveHost(ctx, step.host);
    findProcess(ctx, name).signal(step.signal);
  },
  restart: async (step, ctx) => {
    const name = await resolveHost(ctx, step.host);
    const { fleet } = requireEnvironment(ctx);
    if (fleet.daemons.has(name)) fleet.restartDaemon(name);
    else fleet.restartUpstream(name);
  },
  drain: async (step, ctx) => {
    const name = await resolveHost(ctx, step.host);
    await requireEnvironment(ctx).operator(name).drain();
    const exit = findProcess(ctx, name).exited.then(() => {});
    if (step.label === null) await exit;
    else ctx.running.set(step.label, exit);
  },
  cut: async (step, ctx) => {
    const host = await resolveHost(ctx, step.host);
    await requireEnvironment(ctx).cut(host, await resolveHost(ctx, step.other));
  },
  heal: (_step, ctx) => requireEnvironment(ctx).heal(),
  store: (step, ctx) =>
    requireEnvironment(ctx).fleet.setFaults("store", step.faults),
  fault: (step, ctx) =>
    requireEnvironment(ctx).fleet.setFaults(step.name, step.faults),
  list: (step, ctx) =>
    requireEnvironment(ctx).fleet.setHostState(step.name, step.state),
  edit: async (step, ctx) => {
    const host = step.at === null ? "entry-1" : await resolveHost(ctx, step.at);
    const { row, column, value, label } = step;
    const pendingEdit = requireEnvironment(ctx).edit(host, {
      row,
      column,
      value,
    });
    if (label !== null) ctx.running.set(label, pendingEdit);
    else ctx.results.set(row, await pendingEdit);
  },
  wait: ({ ms }) => sleep(ms),
  await: async ({ name }, ctx) => {
    await requireRunning(ctx, name);
  },
  expect_owner_not: async (step, ctx) => {
    const { id } = requireProgram(ctx, step.program).program;
    const owner = await requireEnvironment(ctx).ownerOf(id);
    const other = ctx.bindings.get(step.name) ?? step.name;
    expect(owner !== other, `owner of ${step.program} is still ${owner}`);
  },
  expect_executions: async ({ route, count }, ctx) => {
    const found = await countExecutions(requireEnvironment(ctx).fleet, route);
    expect(found === count, `${route} ran ${found} times, expected ${count}`);
  },
  expect_table: async ({ ms }, ctx) => {
    const accepted = requireEnvironment(ctx).history.edits.flatMap((it) =>
      it.result?.kind === "accepted" ? [it.result.revision] : []
    );
    await requireEnvironment(ctx).waitForTable(Math.max(0, ...accepted), ms);
  },
  expect_released: async ({ program, ms }, ctx) => {
    const { id } = requireProgram(ctx, program).program;
    await waitUntil(
      ms,
      `memory of ${program} not released within ${ms} ms`,
      async () => {
        const engines = await findEnginesHolding(
          requireEnvironment(ctx).fleet,
          id,
        );
        return engines.length === 0;
      },
    );
  },
  expect_store_rate: async ({ count }, ctx) => {
    const { peak } = await readStoreRate(requireEnvironment(ctx).fleet);
    expect(
      peak <= count,
      `the store received ${peak} calls in one second, limit ${count}`,
    );
  },
  expect_running: ({ count, prefix }, ctx) => {
    const running = [...requireEnvironment(ctx).fleet.upstreams.values()]
      .filter((it) => it.name.startsWith(prefix) && it.process.isRunning);
    expect(
      running.length >= count,
      `${running.length} of ${prefix} running, expected at least ${count}`,
    );
  },
  expect_calls: async ({ count }, ctx) => {
    const running = await countRunningCalls(requireEnvironment(ctx).fleet);
    expect(
      running <= count,
      `${running} calls running on engines, expected at most ${count}`,
    );
  },
  expect_no_work: async ({ name, ms }, ctx) => {
    await sleep(ms);
    const before = await countEngineExecutions(
      requireEnvironment(ctx).fleet,
      name,
    );
    ctx.bindings.set(`work on ${name}`, String(before));
  },
  expect_outcome: async ({ name, outcome, within }, ctx) => {
    const result = await getResult(ctx, name);
    checkOutcome(name, result, outcome);
    if (within === null || !("completedAt" in result)) return;
    const ms = (result.completedAt ?? Infinity) - result.invokedAt;
    expect(ms <= within, `${name} took ${ms} ms, limit ${within} ms`);
  },
};

/** Result of a scenario. */
export interface ScenarioResult {
  /** Line and message of the step that failed. */
  failure: string | undefined;
  violations: Violation[];
}

/** Runs the steps of a scenario, then checks the recorded history. */
export async function runScenario(
  steps: Step[],
  opts: { logFolder: string; onStep?: (step: Step) => void },
): Promise<ScenarioResult> {
  const ctx: StepContext = {
    logFolder: opts.logFolder,
    environment: undefined,
    programs: new Map(),
    bindings: new Map(),
    running: new Map(),
    results: new Map(),
  };
  try {
    const failure = await runSteps(steps, ctx, opts.onStep);
    const history = await requireEnvironment(ctx).collectHistory();
    return { failure, violations: checkHistory(history) };
  } finally {
    await ctx.environment?.stop();
  }
}

async function runSteps(
  steps: Step[],
  ctx: StepContext,
  onStep?: (step: Step) => void,
): Promise<string | undefined> {
  for (const step of steps) {
    onStep?.(step);
    const handler = HANDLERS[step.kind] as (
      step: Step,
      ctx: StepContext,
    ) => Promise<void> | void;
    try {
      await withTimeout(Promise.resolve(handler(step, ctx)));
    } catch (err) {
      const message = err instanceof Error ? err.message : String(err);
      return `line ${step.line}: ${message}`;
    }
  }
  await Promise.allSettled(ctx.running.values());
  return await checkIdleUpstreams(ctx);
}

/**
 * Verifies that the upstreams of `expect no new work` steps have executed no
 * further calls. Returns a message for the first one that has.
 */
async function checkIdleUpstreams(
  ctx: StepContext,
): Promise<string | undefined> {
  for (const [key, before] of ctx.bindings) {
    if (!key.startsWith("work on ")) continue;
    const name = key.slice("work on ".length);
    const now = await countEngineExecutions(
      requireEnvironment(ctx).fleet,
      name,
    );
    if (String(now) !== before) {
      return `${name} ran ${
        now - Number(before)
      } calls after it was listed as leaving`;
    }
  }
  return undefined;
}

/** Rejects if the step does not complete within `STEP_TIMEOUT_MS`. */
function withTimeout(step: Promise<void>): Promise<void> {
  return new Promise((resolve, reject) => {
    const timeout = setTimeout(
      () =>
        reject(
          new ExpectationError(
            `step did not complete within ${STEP_TIMEOUT_MS} ms`,
          ),
        ),
      STEP_TIMEOUT_MS,
    );
    step.then(resolve, reject).finally(() => clearTimeout(timeout));
  });
}

async function runCall(
  ctx: StepContext,
  { program, label, call }: {
    program: string;
    label: string | null;
    call: () => Promise<CallRecord>;
  },
): Promise<void> {
  if (label !== null) {
    ctx.running.set(label, call());
    await sleep(POLL_MS);
    return;
  }
  ctx.results.set(program, await call());
}

async function getResult(
  ctx: StepContext,
  name: string,
): Promise<CallRecord | EditRecord> {
  const running = ctx.running.get(name);
  const result = running ? await running : ctx.results.get(name);
  if (!result) throw new ExpectationError(`${name} has no result`);
  return result;
}

function checkOutcome(
  name: string,
  record: CallRecord | EditRecord,
  expected: string,
): void {
  const { result } = record;
  const actual = result?.kind === "failed" ? result.verdict : result?.kind;
  const detail = result && "detail" in result ? ` (${result.detail})` : "";
  expect(
    actual === expected,
    `${name} is ${actual}${detail}, expected ${expected}`,
  );
}

async function resolveHost(ctx: StepContext, ref: HostRef): Promise<string> {
  if (ref.by === "name") return ctx.bindings.get(ref.name) ?? ref.name;
  const { id } = requireProgram(ctx, ref.program).program;
  if (ref.by === "owner") return await requireEnvironment(ctx).ownerOf(id);
  return await requireEnvironment(ctx).holderOf(id);
}

function findProcess(ctx: StepContext, name: string) {
  const { fleet } = requireEnvironment(ctx);
  const target = fleet.daemons.get(name) ?? fleet.upstreams.get(name);
  if (!target) throw new ExpectationError(`unknown host or upstream ${name}`);
  return target.process;
}

function requireEnvironment(ctx: StepContext): TestEnvironment {
  if (ctx.environment) return ctx.environment;
  throw new ExpectationError(
    "no fleet has been started: the first step must be `fleet of`",
  );
}

function requireProgram(ctx: StepContext, name: string): RecordedProgram {
  const program = ctx.programs.get(name);
  if (program) return program;
  throw new ExpectationError(`program ${name} has not been started`);
}

function requireRunning(ctx: StepContext, name: string) {
  const running = ctx.running.get(name);
  if (running) return running;
  throw new ExpectationError(
    `no background call, edit or drain has label ${name}`,
  );
}

function expect(isMet: boolean, message: string): void {
  if (!isMet) throw new ExpectationError(message);
}

async function waitUntil(
  timeoutMs: number,
  message: string,
  isDone: () => Promise<boolean>,
): Promise<void> {
  const deadline = Date.now() + timeoutMs;
  while (!await isDone()) {
    if (Date.now() >= deadline) throw new ExpectationError(message);
    await sleep(POLL_MS);
  }
}

async function countExecutions(fleet: Fleet, route: string): Promise<number> {
  let count = 0;
  for (const upstream of fleet.upstreams.values()) {
    if (!upstream.name.startsWith("service")) continue;
    const res = await fetch(`http://${upstream.address}/record`);
    const { executions } = await res.json() as {
      executions: { route: string }[];
    };
    count += executions.filter((it) => it.route === route).length;
  }
  return count;
}

async function countEngineExecutions(
  fleet: Fleet,
  name: string,
): Promise<number> {
  const upstream = fleet.upstreams.get(name);
  const res = await fetch(`http://${upstream?.address}/record`);
  const { executions } = await res.json() as { executions: unknown[] };
  return executions.length;
}

async function countRunningCalls(fleet: Fleet): Promise<number> {
  let count = 0;
  for (const upstream of fleet.upstreams.values()) {
    if (!upstream.name.startsWith("engine")) continue;
    const res = await fetch(`http://${upstream.address}/record`);
    const { executions } = await res.json() as {
      executions: { state: string }[];
    };
    count += executions.filter((it) => it.state === "running").length;
  }
  return count;
}

/** Returns the names of the running engines that hold memory for a program. */
async function findEnginesHolding(
  fleet: Fleet,
  program: string,
): Promise<string[]> {
  const engines: string[] = [];
  for (const upstream of fleet.upstreams.values()) {
    const isEngine = upstream.name.startsWith("engine");
    if (!isEngine || !upstream.process.isRunning) continue;
    const res = await fetch(`http://${upstream.address}/control/pins`);
    const { programs } = await res.json() as { programs: string[] };
    if (programs.includes(program)) engines.push(upstream.name);
  }
  return engines;
}

async function readStoreRate(fleet: Fleet): Promise<{ peak: number }> {
  const res = await fetch(`${fleet.storeUrl}/stats`);
  const { seconds } = await res.json() as {
    seconds: { reads: number; writes: number }[];
  };
  return { peak: Math.max(...seconds.map((it) => it.reads + it.writes)) };
}
