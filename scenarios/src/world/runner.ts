import { Fleet } from "@toucantrestle/stand_ins";
import { checkHistory, type Violation } from "../history/checker.ts";
import type { CallRecord, EditRecord } from "../history/history.ts";
import type { HostRef, Step, StepBody } from "../language/step.ts";
import { createFleetSpec } from "./table.ts";
import { sleep, World, type WorldProgram } from "./world.ts";

/** A step did not go as the script expects. */
export class ExpectationError extends Error {
  override name = "ExpectationError";
}

/** What a step acts on. */
interface StepContext {
  logFolder: string;
  world: World | undefined;
  programs: Map<string, WorldProgram>;
  names: Map<string, string>;
  /** Calls and edits in the background, by label. */
  running: Map<string, Promise<CallRecord | EditRecord | void>>;
  /** Newest result by label or program. */
  results: Map<string, CallRecord | EditRecord>;
}

type StepHandlers = {
  [K in StepBody["kind"]]: (
    step: Extract<StepBody, { kind: K }>,
    ctx: StepContext,
  ) => Promise<void> | void;
};

const POLL_MS = 50;
const STEP_LIMIT_MS = 60_000;

const HANDLERS: StepHandlers = {
  fleet: async (step, ctx) => {
    const spec = createFleetSpec({ ...step, logFolder: ctx.logFolder });
    ctx.world = new World(spec);
    await ctx.world.start();
  },
  let: async (step, ctx) => {
    ctx.names.set(step.name, await resolveHost(ctx, step.host));
  },
  start: async (step, ctx) => {
    const parent = step.parent === null
      ? undefined
      : requireProgram(ctx, step.parent);
    const program = await world(ctx).startProgram(step.caller, {
      budget: step.budget ?? undefined,
      parent,
    });
    ctx.programs.set(step.program, program);
  },
  chat: (step, ctx) => {
    const program = requireProgram(ctx, step.program);
    const call = () => world(ctx).chat(program, step.text, step.streamed);
    return runCall(ctx, { program: step.program, label: step.label, call });
  },
  post: (step, ctx) => {
    const program = requireProgram(ctx, step.program);
    const call = () => world(ctx).post(program, step.route);
    return runCall(ctx, { program: step.program, label: step.label, call });
  },
  end: (step, ctx) => world(ctx).endProgram(requireProgram(ctx, step.program)),
  signal: async (step, ctx) => {
    const name = await resolveHost(ctx, step.host);
    findProcess(ctx, name).signal(step.signal);
  },
  restart: async (step, ctx) => {
    const name = await resolveHost(ctx, step.host);
    const { fleet } = world(ctx);
    if (fleet.daemons.has(name)) fleet.restartDaemon(name);
    else fleet.restartUpstream(name);
  },
  drain: async (step, ctx) => {
    const name = await resolveHost(ctx, step.host);
    await world(ctx).operator(name).drain();
    const ended = findProcess(ctx, name).exited.then(() => {});
    if (step.label === null) await ended;
    else ctx.running.set(step.label, ended);
  },
  cut: async (step, ctx) => {
    const host = await resolveHost(ctx, step.host);
    await world(ctx).cut(host, await resolveHost(ctx, step.other));
  },
  heal: (_step, ctx) => world(ctx).heal(),
  store: (step, ctx) => world(ctx).fleet.setFaults("store", step.faults),
  fault: (step, ctx) => world(ctx).fleet.setFaults(step.name, step.faults),
  list: (step, ctx) => world(ctx).fleet.setHostState(step.name, step.state),
  edit: async (step, ctx) => {
    const host = step.at === null ? "entry-1" : await resolveHost(ctx, step.at);
    const { row, column, value, label } = step;
    const edited = world(ctx).edit(host, { row, column, value });
    if (label !== null) ctx.running.set(label, edited);
    else ctx.results.set(row, await edited);
  },
  wait: ({ ms }) => sleep(ms),
  await: async ({ name }, ctx) => {
    await requireRunning(ctx, name);
  },
  expect_owner_not: async (step, ctx) => {
    const { id } = requireProgram(ctx, step.program).program;
    const owner = await world(ctx).ownerOf(id);
    const other = ctx.names.get(step.name) ?? step.name;
    expect(owner !== other, `the owner of ${step.program} is ${owner}`);
  },
  expect_executions: async ({ route, count }, ctx) => {
    const found = await countExecutions(world(ctx).fleet, route);
    expect(found === count, `${route} ran ${found} times, not ${count}`);
  },
  expect_table: async ({ ms }, ctx) => {
    const accepted = world(ctx).history.edits.flatMap((it) =>
      it.result?.kind === "accepted" ? [it.result.revision] : []
    );
    await world(ctx).waitForTable(Math.max(0, ...accepted), ms);
  },
  expect_released: async ({ program, ms }, ctx) => {
    const { id } = requireProgram(ctx, program).program;
    await until(ms, `memory of ${program} is still held`, async () => {
      const holders = await findHolders(world(ctx).fleet, id);
      return holders.length === 0;
    });
  },
  expect_store_rate: async ({ count }, ctx) => {
    const { busiest } = await readStoreRate(world(ctx).fleet);
    expect(busiest <= count, `the store saw ${busiest} calls in a second`);
  },
  expect_running: ({ count, prefix }, ctx) => {
    const running = [...world(ctx).fleet.upstreams.values()]
      .filter((it) => it.name.startsWith(prefix) && it.process.isRunning);
    expect(
      running.length >= count,
      `${running.length} of ${prefix} run, fewer than ${count}`,
    );
  },
  expect_calls: async ({ count }, ctx) => {
    const running = await countRunningCalls(world(ctx).fleet);
    expect(running <= count, `${running} calls run, more than ${count}`);
  },
  expect_no_work: async ({ name, ms }, ctx) => {
    await sleep(ms);
    const before = await countEngineExecutions(world(ctx).fleet, name);
    ctx.names.set(`work on ${name}`, String(before));
  },
  expect_outcome: async ({ name, outcome, within }, ctx) => {
    const result = await resultNamed(ctx, name);
    checkOutcome(name, result, outcome);
    if (within === null || !("completedAt" in result)) return;
    const ms = (result.completedAt ?? Infinity) - result.invokedAt;
    expect(ms <= within, `${name} took ${ms} ms, more than ${within} ms`);
  },
};

/** Result of a scenario. */
export interface ScenarioResult {
  /** Step that failed, with its line. */
  failure: string | undefined;
  violations: Violation[];
}

/** Runs the steps of a scenario, then checks its history. */
export async function runScenario(
  steps: Step[],
  opts: { logFolder: string; onStep?: (step: Step) => void },
): Promise<ScenarioResult> {
  const ctx: StepContext = {
    logFolder: opts.logFolder,
    world: undefined,
    programs: new Map(),
    names: new Map(),
    running: new Map(),
    results: new Map(),
  };
  try {
    const failure = await runSteps(steps, ctx, opts.onStep);
    const history = await world(ctx).collect();
    return { failure, violations: checkHistory(history) };
  } finally {
    await ctx.world?.stop();
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
      await withLimit(Promise.resolve(handler(step, ctx)));
    } catch (err) {
      const message = err instanceof Error ? err.message : String(err);
      return `line ${step.line}: ${message}`;
    }
  }
  await Promise.allSettled(ctx.running.values());
  return await checkIdleUpstreams(ctx);
}

/** Upstreams that were to get no new work must not have got any. */
async function checkIdleUpstreams(
  ctx: StepContext,
): Promise<string | undefined> {
  for (const [key, before] of ctx.names) {
    if (!key.startsWith("work on ")) continue;
    const name = key.slice("work on ".length);
    const now = await countEngineExecutions(world(ctx).fleet, name);
    if (String(now) !== before) {
      return `${name} ran ${now - Number(before)} calls after it was leaving`;
    }
  }
  return undefined;
}

/** No step may take longer than this, whatever it waits for. */
function withLimit(step: Promise<void>): Promise<void> {
  return new Promise((resolve, reject) => {
    const timeout = setTimeout(
      () => reject(new ExpectationError(`took more than ${STEP_LIMIT_MS} ms`)),
      STEP_LIMIT_MS,
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

async function resultNamed(
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
  expect(actual === expected, `${name} is ${actual}${detail}, not ${expected}`);
}

async function resolveHost(ctx: StepContext, ref: HostRef): Promise<string> {
  if (ref.by === "name") return ctx.names.get(ref.name) ?? ref.name;
  const { id } = requireProgram(ctx, ref.program).program;
  if (ref.by === "owner") return await world(ctx).ownerOf(id);
  return await world(ctx).holderOf(id);
}

function findProcess(ctx: StepContext, name: string) {
  const { fleet } = world(ctx);
  const member = fleet.daemons.get(name) ?? fleet.upstreams.get(name);
  if (!member) throw new ExpectationError(`${name} is not known`);
  return member.process;
}

function world(ctx: StepContext): World {
  if (ctx.world) return ctx.world;
  throw new ExpectationError("the first step must be a fleet");
}

function requireProgram(ctx: StepContext, name: string): WorldProgram {
  const program = ctx.programs.get(name);
  if (program) return program;
  throw new ExpectationError(`program ${name} was not started`);
}

function requireRunning(ctx: StepContext, name: string) {
  const running = ctx.running.get(name);
  if (running) return running;
  throw new ExpectationError(`nothing named ${name} runs`);
}

function expect(holds: boolean, message: string): void {
  if (!holds) throw new ExpectationError(message);
}

async function until(
  patienceMs: number,
  message: string,
  isDone: () => Promise<boolean>,
): Promise<void> {
  const giveUpAt = Date.now() + patienceMs;
  while (!await isDone()) {
    if (Date.now() >= giveUpAt) throw new ExpectationError(message);
    await sleep(POLL_MS);
  }
}

async function countExecutions(fleet: Fleet, route: string): Promise<number> {
  let count = 0;
  for (const member of fleet.upstreams.values()) {
    if (!member.name.startsWith("service")) continue;
    const res = await fetch(`http://${member.address}/record`);
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
  const member = fleet.upstreams.get(name);
  const res = await fetch(`http://${member?.address}/record`);
  const { executions } = await res.json() as { executions: unknown[] };
  return executions.length;
}

async function countRunningCalls(fleet: Fleet): Promise<number> {
  let count = 0;
  for (const member of fleet.upstreams.values()) {
    if (!member.name.startsWith("engine")) continue;
    const res = await fetch(`http://${member.address}/record`);
    const { executions } = await res.json() as {
      executions: { state: string }[];
    };
    count += executions.filter((it) => it.state === "running").length;
  }
  return count;
}

async function findHolders(fleet: Fleet, program: string): Promise<string[]> {
  const holders: string[] = [];
  for (const member of fleet.upstreams.values()) {
    const isEngine = member.name.startsWith("engine");
    if (!isEngine || !member.process.isRunning) continue;
    const res = await fetch(`http://${member.address}/control/pins`);
    const { programs } = await res.json() as { programs: string[] };
    if (programs.includes(program)) holders.push(member.name);
  }
  return holders;
}

async function readStoreRate(fleet: Fleet): Promise<{ busiest: number }> {
  const res = await fetch(`${fleet.storeUrl}/stats`);
  const { seconds } = await res.json() as {
    seconds: { reads: number; writes: number }[];
  };
  return { busiest: Math.max(...seconds.map((it) => it.reads + it.writes)) };
}
