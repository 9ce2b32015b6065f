import { checkHistory, type Violation } from "../history/checker.ts";
import type { Step } from "../language/step.ts";
import { countEngineExecutions } from "./fleet_records.ts";
import {
  ExpectationError,
  requireEnvironment,
  type StepContext,
} from "./step_context.ts";
import { STEP_HANDLERS } from "./step_handlers.ts";

const STEP_TIMEOUT_MS = 60_000;

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
    const handler = STEP_HANDLERS[step.kind] as (
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
