import type { EngineExecution, ServiceExecution } from "../history/history.ts";
import type { TestEnvironment } from "./test_environment.ts";

/**
 * Reads the records of engines, services and the table, and appends them to the
 * history of the environment.
 */
export async function collectRecords(env: TestEnvironment): Promise<void> {
  const { history, fleet } = env;
  for (const upstream of fleet.upstreams.values()) {
    if (!upstream.process.isRunning) continue;
    const record = await readJson<{ executions: unknown[] }>(
      `http://${upstream.address}/record`,
    );
    if (upstream.name.startsWith("service")) {
      history.services.push(...record.executions as ServiceExecution[]);
      continue;
    }
    const executions = record.executions as Omit<EngineExecution, "engine">[];
    history.engines.push(
      ...executions.map((it) => ({ ...it, engine: upstream.name })),
    );
    const pins = await readJson<{ programs: string[] }>(
      `http://${upstream.address}/control/pins`,
    );
    history.held.push(
      ...pins.programs.map((program) => ({ engine: upstream.name, program })),
    );
  }
  await collectTable(env);
}

async function collectTable(env: TestEnvironment): Promise<void> {
  const { history } = env;
  const operator = env.anyOperator();
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
