import type { EngineExecution, ServiceExecution } from "../history/history.ts";
import type { World } from "./world.ts";

/** Reads what engines, services and the table recorded into the history. */
export async function collectRecords(world: World): Promise<void> {
  const { history, fleet } = world;
  for (const member of fleet.upstreams.values()) {
    if (!member.process.isRunning) continue;
    const record = await readJson<{ executions: unknown[] }>(
      `http://${member.address}/record`,
    );
    if (member.name.startsWith("service")) {
      history.services.push(...record.executions as ServiceExecution[]);
      continue;
    }
    const executions = record.executions as Omit<EngineExecution, "engine">[];
    history.engines.push(
      ...executions.map((it) => ({ ...it, engine: member.name })),
    );
    const pins = await readJson<{ programs: string[] }>(
      `http://${member.address}/control/pins`,
    );
    history.held.push(
      ...pins.programs.map((program) => ({ engine: member.name, program })),
    );
  }
  await collectTable(world);
}

async function collectTable(world: World): Promise<void> {
  const { history } = world;
  const operator = world.anyOperator();
  const edits = await operator.history();
  history.accepted.push(
    ...edits.map(({ revision, writeId }) => ({ revision, writeId })),
  );
  const table = await operator.table();
  history.idempotentRoutes = table.rows
    .filter((row) => row.cells["idempotent"] === true)
    .map((row) => row.id.slice("route/".length));
  const edited = new Set(history.edits.map((it) => `${it.row} ${it.column}`));
  for (const row of table.rows) {
    for (const [column, value] of Object.entries(row.cells)) {
      if (!edited.has(`${row.id} ${column}`)) continue;
      history.finalCells.push({ row: row.id, column, value: String(value) });
    }
  }
}

async function readJson<T>(url: string): Promise<T> {
  const res = await fetch(url);
  return await res.json() as T;
}
