import { OperatorClient } from "@toucantrestle/operator";
import { Fleet, type FleetSpec, OPERATOR_KEY } from "@toucantrestle/stand_ins";
import { type CellChange, createRowChanges } from "@toucantrestle/table";
import { randomUUID } from "node:crypto";

/** A running fleet that has applied its table, with a caller's key. */
export interface BenchFleet {
  fleet: Fleet;
  operator: OperatorClient;
  /** Key of the caller named `bench`. */
  callerKey: string;
}

const POLL_INTERVAL_MS = 50;

/** Starts a fleet and waits until every daemon has applied the table. */
export async function startBenchFleet(spec: FleetSpec): Promise<BenchFleet> {
  const fleet = new Fleet(spec);
  await fleet.start();
  const [firstDaemon] = fleet.daemons.values();
  const operator = new OperatorClient({
    url: `http://${firstDaemon?.address}`,
    key: OPERATOR_KEY,
  });
  const { revision } = await operator.edit({
    writeId: randomUUID(),
    reason: "bench",
    changes: createTableChanges(spec, fleet),
    removals: [],
  });
  await waitForRevision(operator, revision, fleet.daemons.size);
  await fleet.waitUntilReady();
  const callerKey = await operator.createKey("bench", "caller");
  await new Promise((resolve) => setTimeout(resolve, 10 * POLL_INTERVAL_MS));
  return { fleet, operator, callerKey };
}

function createTableChanges(spec: FleetSpec, fleet: Fleet): CellChange[] {
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
  hostCount: number,
): Promise<void> {
  for (;;) {
    const status = await operator.status();
    const upToDate = status.hosts.filter((it) => it.tableRevision >= revision);
    if (upToDate.length >= hostCount) return;
    await new Promise((resolve) => setTimeout(resolve, POLL_INTERVAL_MS));
  }
}
