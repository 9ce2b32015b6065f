import type { CallRecord, EditRecord } from "../history/history.ts";
import type { StepBody } from "../language/step.ts";
import {
  countEngineExecutions,
  countExecutions,
  countRunningCalls,
  findEnginesHolding,
  readStoreRate,
} from "./fleet_records.ts";
import {
  expect,
  ExpectationError,
  findProcess,
  getResult,
  requireEnvironment,
  requireProgram,
  requireRunning,
  resolveHost,
  type StepContext,
} from "./step_context.ts";
import { createFleetSpec } from "./table.ts";
import { sleep, TestEnvironment } from "./test_environment.ts";

type StepHandlers = {
  [K in StepBody["kind"]]: (
    step: Extract<StepBody, { kind: K }>,
    ctx: StepContext,
  ) => Promise<void> | void;
};

const POLL_MS = 50;

/** Handlers of all kinds of steps. */
export const STEP_HANDLERS: Readonly<StepHandlers> = {
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
