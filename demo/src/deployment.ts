import { OperatorClient } from "@toucantrestle/operator";
import {
  type Fleet,
  type FleetSpec,
  OPERATOR_KEY,
} from "@toucantrestle/stand_ins";
import {
  diffTable,
  EMPTY_TABLE,
  parseDeclaration,
  type Row,
} from "@toucantrestle/table";
import { randomUUID } from "node:crypto";
import { readFileSync } from "node:fs";

/** Daemons and upstreams of the sample deployment. */
export const SAMPLE_FLEET: FleetSpec = {
  daemons: [
    { host: "entry-1", dataCentre: "scl-1" },
    { host: "entry-2", dataCentre: "scl-2" },
    { host: "entry-3", dataCentre: "scl-3" },
  ],
  upstreams: [
    engineSpec("engine-1", "scl-1"),
    engineSpec("engine-2", "scl-2"),
    serviceSpec("core-1", "scl-1", ["post-interest"]),
    serviceSpec("dispatch-1", "scl-2", ["book-visit", "find-technician"]),
  ],
};

/** Creates an operator client for the first daemon of the fleet. */
export function connectOperator(fleet: Fleet): OperatorClient {
  const [daemon] = fleet.daemons.values();
  return new OperatorClient({
    url: `http://${daemon?.address}`,
    key: OPERATOR_KEY,
  });
}

/**
 * Applies a table declaration, with the upstream addresses replaced by those of
 * the fleet's processes.
 *
 * @returns revision of the table after the edit
 */
export async function applyTable(
  fleet: Fleet,
  operator: OperatorClient,
  path: string,
): Promise<number> {
  const rows = parseDeclaration(readFileSync(path, "utf8"))
    .map((row) => fillInAddress(row, fleet));
  const { changes } = diffTable(EMPTY_TABLE, rows);
  const result = await operator.edit({
    writeId: randomUUID(),
    reason: "sample deployment",
    changes,
    removals: [],
  });
  return result.revision;
}

/** Polls until at least `hosts` daemons have applied a table revision. */
export async function waitForRevision(
  operator: OperatorClient,
  opts: { revision: number; hosts: number },
): Promise<void> {
  for (;;) {
    const { hosts } = await operator.status();
    const upToDate = hosts.filter((it) => it.tableRevision >= opts.revision);
    if (upToDate.length >= opts.hosts) return;
    await new Promise((resolve) => setTimeout(resolve, 50));
  }
}

function fillInAddress(row: Row, fleet: Fleet): Row {
  const upstream = fleet.upstreams.get(row.id.slice("upstream/".length));
  if (!row.id.startsWith("upstream/") || !upstream) return row;
  return { id: row.id, cells: { ...row.cells, address: upstream.address } };
}

function engineSpec(name: string, dataCentre: string) {
  return {
    name,
    kind: "engine" as const,
    dataCentre,
    serves: ["small"],
    capacity: 16,
  };
}

function serviceSpec(name: string, dataCentre: string, serves: string[]) {
  return { name, kind: "service" as const, dataCentre, serves, capacity: 32 };
}
