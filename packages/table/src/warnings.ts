import type { Table } from "./table.ts";
import { viewTable } from "./views.ts";

/** Sentences on states of the table that would starve the system. */
export function tableWarnings(table: Table): string[] {
  const view = viewTable(table);
  const warnings: string[] = [];
  const callers = [...view.callers.values()];
  if (callers.length > 0 && callers.every((it) => it.weight === 0)) {
    warnings.push("every caller has weight 0: nobody gets a share");
  }
  const upstreams = [...view.upstreams.values()];
  for (const kind of ["engine", "service"] as const) {
    const own = upstreams.filter((it) => it.kind === kind);
    if (own.length > 0 && own.every((it) => it.drained)) {
      warnings.push(`every upstream of kind ${kind} is drained`);
    }
  }
  for (const caller of callers) {
    if (caller.maxCalls < caller.weight) {
      warnings.push(
        `caller ${caller.name} may run ${caller.maxCalls} calls at once, fewer than its weight of ${caller.weight}`,
      );
    }
  }
  return warnings;
}
