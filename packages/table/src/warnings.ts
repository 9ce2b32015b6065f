import type { Table } from "./table.ts";
import { createTableView } from "./views.ts";

/**
 * Returns warnings about table contents that starve callers or leave no active
 * upstreams.
 */
export function tableWarnings(table: Table): string[] {
  const view = createTableView(table);
  const warnings: string[] = [];
  const callers = [...view.callers.values()];
  if (callers.length > 0 && callers.every((it) => it.weight === 0)) {
    warnings.push(
      "every caller has weight 0: no caller gets a share of the upstreams",
    );
  }
  const upstreams = [...view.upstreams.values()];
  for (const kind of ["engine", "service"] as const) {
    const upstreamsOfKind = upstreams.filter((it) => it.kind === kind);
    if (
      upstreamsOfKind.length > 0 && upstreamsOfKind.every((it) => it.drained)
    ) {
      warnings.push(`every upstream of kind ${kind} is drained`);
    }
  }
  for (const caller of callers) {
    if (caller.maxCalls < caller.weight) {
      warnings.push(
        `caller ${caller.name} has a limit of ${caller.maxCalls} concurrent calls, which is below its weight of ${caller.weight}`,
      );
    }
  }
  return warnings;
}
