import type { Fleet } from "@toucantrestle/stand_ins";
import type { ProgramResult } from "./run_program.ts";

/** An execution recorded by the service stand-in. */
interface Execution {
  requestId: string;
  program: string;
  step: number;
  route: string;
}

/**
 * Compares the executions that the services recorded with the service calls
 * that the programs made.
 *
 * @returns one message for each duplicate execution, and one if the counts
 * differ
 */
export async function findExecutionErrors(
  fleet: Fleet,
  results: ProgramResult[],
): Promise<string[]> {
  const executions = await readExecutions(fleet);
  const errors: string[] = [];
  const seen = new Set<string>();
  for (const { requestId, route } of executions) {
    if (seen.has(requestId)) {
      errors.push(`request ${requestId} to route ${route} was executed twice`);
    }
    seen.add(requestId);
  }
  const expected = results.reduce((sum, it) => sum + it.serviceCalls, 0);
  if (seen.size !== expected) {
    errors.push(
      `${expected} service calls were made, but ${seen.size} were executed`,
    );
  }
  return errors;
}

async function readExecutions(fleet: Fleet): Promise<Execution[]> {
  const executions: Execution[] = [];
  for (const upstream of fleet.upstreams.values()) {
    if (upstream.name.startsWith("engine")) continue;
    const res = await fetch(`http://${upstream.address}/record`);
    const record = await res.json() as { executions: Execution[] };
    executions.push(...record.executions);
  }
  return executions;
}
