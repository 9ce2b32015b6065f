import type { Fleet } from "@toucantrestle/stand_ins";
import type { ProgramResult } from "./run_program.ts";

/** An execution as the service stand-in recorded it. */
interface Execution {
  requestId: string;
  program: string;
  step: number;
  route: string;
}

/** Compares what services executed with what the programs asked for. */
export async function findFaults(
  fleet: Fleet,
  results: ProgramResult[],
): Promise<string[]> {
  const executions = await readExecutions(fleet);
  const faults: string[] = [];
  const seen = new Set<string>();
  for (const { requestId, route } of executions) {
    if (seen.has(requestId)) faults.push(`${route} ran twice: ${requestId}`);
    seen.add(requestId);
  }
  const wanted = results.reduce((sum, it) => sum + it.serviceCalls, 0);
  if (seen.size !== wanted) {
    faults.push(`${wanted} service calls were asked for, ${seen.size} ran`);
  }
  return faults;
}

async function readExecutions(fleet: Fleet): Promise<Execution[]> {
  const all: Execution[] = [];
  for (const member of fleet.upstreams.values()) {
    if (member.name.startsWith("engine")) continue;
    const res = await fetch(`http://${member.address}/record`);
    const { executions } = await res.json() as { executions: Execution[] };
    all.push(...executions);
  }
  return all;
}
