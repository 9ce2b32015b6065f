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

/** Processes of the sample deployment. */
export const SAMPLE_FLEET: FleetSpec = {
  daemons: [
    { host: "entry-1", dataCentre: "scl-1" },
    { host: "entry-2", dataCentre: "scl-2" },
    { host: "entry-3", dataCentre: "scl-3" },
  ],
  upstreams: [
    engine("engine-1", "scl-1"),
    engine("engine-2", "scl-2"),
    service("core-1", "scl-1", ["post-interest"]),
    service("dispatch-1", "scl-2", ["book-visit", "find-technician"]),
  ],
};

/** Connects as an operator to a daemon of the fleet. */
export function connectOperator(fleet: Fleet): OperatorClient {
  const [daemon] = fleet.daemons.values();
  return new OperatorClient({
    url: `http://${daemon?.address}`,
    key: OPERATOR_KEY,
  });
}

/** Applies a declaration, with the addresses that the fleet has. */
export async function applyTable(
  fleet: Fleet,
  operator: OperatorClient,
  path: string,
): Promise<number> {
  const rows = parseDeclaration(readFileSync(path, "utf8"))
    .map((row) => withAddress(row, fleet));
  const { changes } = diffTable(EMPTY_TABLE, rows);
  const answer = await operator.edit({
    writeId: randomUUID(),
    reason: "sample deployment",
    changes,
    removals: [],
  });
  return answer.revision;
}

/** Waits until a revision is in force on every daemon. */
export async function waitForRevision(
  operator: OperatorClient,
  opts: { revision: number; hosts: number },
): Promise<void> {
  for (;;) {
    const { hosts } = await operator.status();
    const inForce = hosts.filter((it) => it.tableRevision >= opts.revision);
    if (inForce.length >= opts.hosts) return;
    await new Promise((resolve) => setTimeout(resolve, 50));
  }
}

function withAddress(row: Row, fleet: Fleet): Row {
  const member = fleet.upstreams.get(row.id.slice("upstream/".length));
  if (!row.id.startsWith("upstream/") || !member) return row;
  return { id: row.id, cells: { ...row.cells, address: member.address } };
}

function engine(name: string, dataCentre: string) {
  return {
    name,
    kind: "engine" as const,
    dataCentre,
    serves: ["small"],
    capacity: 16,
  };
}

function service(name: string, dataCentre: string, serves: string[]) {
  return { name, kind: "service" as const, dataCentre, serves, capacity: 32 };
}
