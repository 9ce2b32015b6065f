import type { Fleet, FleetSpec, UpstreamSpec } from "@toucantrestle/stand_ins";
import { type CellChange, createRowChanges } from "@toucantrestle/table";

/** Returns the cell changes that create the table of a scenario. */
export function createTableChanges(
  spec: FleetSpec,
  fleet: Fleet,
  callers: readonly string[],
): CellChange[] {
  return [
    ...callers.flatMap((name) =>
      createRowChanges(`caller/${name}`, {
        weight: 1,
        budget_tokens: 1_000_000,
      })
    ),
    ...createRowChanges("model/small", {
      deadline_s: 30,
      max_output_tokens: 512,
    }),
    ...createRowChanges("route/book", { idempotent: false, deadline_s: 2 }),
    ...createRowChanges("route/find", { idempotent: true, deadline_s: 2 }),
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

/** Returns the specification of the processes of a scenario. */
export function createFleetSpec(
  opts: {
    daemons: number;
    dataCentres: number;
    engines: number;
    services: number;
    tailCopies: number;
    logFolder: string;
  },
): FleetSpec {
  const dataCentre = (index: number) => `dc-${index % opts.dataCentres + 1}`;
  return {
    logFolder: opts.logFolder,
    daemonArgs: ["--tail-copies", String(opts.tailCopies)],
    daemons: Array.from({ length: opts.daemons }, (_, i) => ({
      host: `entry-${i + 1}`,
      dataCentre: dataCentre(i),
    })),
    upstreams: [
      ...Array.from({ length: opts.engines }, (_, i): UpstreamSpec => ({
        name: `engine-${i + 1}`,
        kind: "engine",
        dataCentre: dataCentre(i),
        serves: ["small"],
        capacity: 32,
      })),
      ...Array.from({ length: opts.services }, (_, i): UpstreamSpec => ({
        name: `service-${i + 1}`,
        kind: "service",
        dataCentre: dataCentre(i),
        serves: ["book", "find"],
        capacity: 64,
      })),
    ],
  };
}
