import { OperatorClient } from "@toucantrestle/operator";
import { Fleet, type FleetSpec, OPERATOR_KEY } from "@toucantrestle/stand_ins";
import { type CellChange, createRowChanges } from "@toucantrestle/table";
import { randomUUID } from "node:crypto";

/** A started fleet with a table in force and a caller's key. */
export interface BenchFleet {
  fleet: Fleet;
  operator: OperatorClient;
  /** Key of the caller named `bench`. */
  callerKey: string;
}

const POLL_MS = 50;

/** Starts a fleet and brings a table into force on all its daemons. */
export async function startBenchFleet(spec: FleetSpec): Promise<BenchFleet> {
  const fleet = new Fleet(spec);
  await fleet.start();
  const [first] = fleet.daemons.values();
  const operator = new OperatorClient({
    url: `http://${first?.address}`,
    key: OPERATOR_KEY,
  });
  const { revision } = await operator.edit({
    writeId: randomUUID(),
    reason: "bench",
    changes: tableOf(spec, fleet),
    removals: [],
  });
  await waitForRevision(operator, revision, fleet.daemons.size);
  await fleet.waitUntilReady();
  const callerKey = await operator.createKey("bench", "caller");
  await new Promise((resolve) => setTimeout(resolve, 10 * POLL_MS));
  return { fleet, operator, callerKey };
}

function tableOf(spec: FleetSpec, fleet: Fleet): CellChange[] {
  return [
    ...createRowChanges("caller/bench", {
      weight: 1,
      budget_tokens: 100_000_000,
      turn_limit: 10_000,
      max_calls: 10_000,
      tokens_per_s: 10_000_000,
    }),
    ...createRowChanges("model/small", { deadline_s: 60 }),
    ...createRowChanges("route/post", { idempotent: false }),
    ...spec.upstreams.flatMap((it) =>
      createRowChanges(`upstream/${it.name}`, {
        kind: it.kind,
        address: fleet.upstreams.get(it.name)?.address ?? "",
        data_centre: it.dataCentre,
        serves: it.serves,
        capacity: it.capacity,
      })
    ),
  ];
}

async function waitForRevision(
  operator: OperatorClient,
  revision: number,
  hosts: number,
): Promise<void> {
  for (;;) {
    const status = await operator.status();
    const inForce = status.hosts.filter((it) => it.tableRevision >= revision);
    if (inForce.length >= hosts) return;
    await new Promise((resolve) => setTimeout(resolve, POLL_MS));
  }
}
