import type { CallRecord, EditRecord } from "../history/history.ts";
import type { HostRef } from "../language/step.ts";
import type { RecordedProgram, TestEnvironment } from "./test_environment.ts";

/**
 * Thrown when an expectation of a script is not met, a step exceeds its time
 * limit, or a step uses a name that is not defined.
 */
export class ExpectationError extends Error {
  override name = "ExpectationError";
}

/** State shared by the steps of a scenario. */
export interface StepContext {
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

/** Throws an `ExpectationError` unless the condition is met. */
export function expect(isMet: boolean, message: string): void {
  if (!isMet) throw new ExpectationError(message);
}

/** Returns the result of a background or the latest foreground call or edit. */
export async function getResult(
  ctx: StepContext,
  name: string,
): Promise<CallRecord | EditRecord> {
  const running = ctx.running.get(name);
  const result = running ? await running : ctx.results.get(name);
  if (!result) throw new ExpectationError(`${name} has no result`);
  return result;
}

/** Returns the name of the host that a step refers to. */
export async function resolveHost(
  ctx: StepContext,
  ref: HostRef,
): Promise<string> {
  if (ref.by === "name") return ctx.bindings.get(ref.name) ?? ref.name;
  const { id } = requireProgram(ctx, ref.program).program;
  if (ref.by === "owner") return await requireEnvironment(ctx).ownerOf(id);
  return await requireEnvironment(ctx).holderOf(id);
}

/** Returns the process of a daemon or an upstream. */
export function findProcess(ctx: StepContext, name: string) {
  const { fleet } = requireEnvironment(ctx);
  const target = fleet.daemons.get(name) ?? fleet.upstreams.get(name);
  if (!target) throw new ExpectationError(`unknown host or upstream ${name}`);
  return target.process;
}

/** Returns the environment that the first step started. */
export function requireEnvironment(ctx: StepContext): TestEnvironment {
  if (ctx.environment) return ctx.environment;
  throw new ExpectationError(
    "no fleet has been started: the first step must be `fleet of`",
  );
}

/** Returns a program that a step started. */
export function requireProgram(
  ctx: StepContext,
  name: string,
): RecordedProgram {
  const program = ctx.programs.get(name);
  if (program) return program;
  throw new ExpectationError(`program ${name} has not been started`);
}

/** Returns a background call, edit or drain. */
export function requireRunning(ctx: StepContext, name: string) {
  const running = ctx.running.get(name);
  if (running) return running;
  throw new ExpectationError(
    `no background call, edit or drain has label ${name}`,
  );
}
