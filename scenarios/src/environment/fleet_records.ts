import type { Fleet } from "@toucantrestle/stand_ins";

/** A call that an upstream ran, as its stand-in recorded it. */
interface Execution {
  route: string;
  state: string;
}

type Upstream = Fleet["upstreams"] extends Map<string, infer U> ? U : never;

/** Returns the number of executions of a route on all services. */
export async function countExecutions(
  fleet: Fleet,
  route: string,
): Promise<number> {
  const executions = await readAllExecutions(fleet, "service");
  return executions.filter((it) => it.route === route).length;
}

/** Returns the number of executions on one engine. */
export async function countEngineExecutions(
  fleet: Fleet,
  name: string,
): Promise<number> {
  return (await readExecutions(fleet.upstreams.get(name))).length;
}

/** Returns the number of calls that run on all engines. */
export async function countRunningCalls(fleet: Fleet): Promise<number> {
  const executions = await readAllExecutions(fleet, "engine");
  return executions.filter((it) => it.state === "running").length;
}

/** Returns the names of the running engines that hold memory for a program. */
export async function findEnginesHolding(
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

/** Returns the largest number of calls that the store received in a second. */
export async function readStoreRate(fleet: Fleet): Promise<{ peak: number }> {
  const res = await fetch(`${fleet.storeUrl}/stats`);
  const { seconds } = await res.json() as {
    seconds: { reads: number; writes: number }[];
  };
  return { peak: Math.max(...seconds.map((it) => it.reads + it.writes)) };
}

async function readAllExecutions(
  fleet: Fleet,
  namePrefix: string,
): Promise<Execution[]> {
  const upstreams = [...fleet.upstreams.values()]
    .filter((it) => it.name.startsWith(namePrefix));
  return (await Promise.all(upstreams.map(readExecutions))).flat();
}

async function readExecutions(
  upstream: Upstream | undefined,
): Promise<Execution[]> {
  const res = await fetch(`http://${upstream?.address}/record`);
  const { executions } = await res.json() as { executions: Execution[] };
  return executions;
}
