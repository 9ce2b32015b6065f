import { sleep, type World } from "../world/world.ts";
import type { Fault } from "./plan.ts";

type Injectors = {
  [K in Fault["kind"]]: (
    world: World,
    fault: Extract<Fault, { kind: K }>,
  ) => Promise<void>;
};

const INJECTORS: Injectors = {
  kill: async ({ fleet }, { host, forMs }) => {
    fleet.daemons.get(host)?.process.signal("SIGKILL");
    await sleep(forMs);
    fleet.restartDaemon(host);
  },
  freeze: async ({ fleet }, { host, forMs }) => {
    const member = fleet.daemons.get(host);
    member?.process.signal("SIGSTOP");
    await sleep(forMs);
    member?.process.signal("SIGCONT");
  },
  cut: async (world, { host, other, forMs }) => {
    await world.cut(host, other);
    await sleep(forMs);
    await world.heal();
  },
  store: async ({ fleet }, { faults, forMs }) => {
    await fleet.setFaults("store", faults);
    await sleep(forMs);
    await fleet.setFaults("store", {
      down: false,
      slowMs: 0,
      loseAnswerShare: 0,
    });
  },
  kill_engine: async ({ fleet }, { engine, forMs }) => {
    fleet.upstreams.get(engine)?.process.signal("SIGKILL");
    await sleep(forMs);
    fleet.restartUpstream(engine);
  },
  cut_streams: async ({ fleet }, { engine, forMs }) => {
    await fleet.setFaults(engine, { cutAfterTokens: 15 });
    await sleep(forMs);
    await fleet.setFaults(engine, { cutAfterTokens: 0 });
  },
  lose_answers: async ({ fleet }, { service, forMs }) => {
    await fleet.setFaults(service, { loseAnswer: true });
    await sleep(forMs);
    await fleet.setFaults(service, { loseAnswer: false });
  },
  slow_service: async ({ fleet }, { service, forMs }) => {
    await fleet.setFaults(service, { slowMs: 2_500 });
    await sleep(forMs);
    await fleet.setFaults(service, { slowMs: 0 });
  },
  edits: async (world, { at }) => {
    const hosts = [...world.fleet.daemons.values()]
      .filter((it) => it.process.isRunning)
      .slice(0, 3);
    await Promise.all(hosts.map((host, index) =>
      world.edit(host.name, {
        row: index === 2 ? "caller/bob" : "caller/alice",
        column: "weight",
        value: String(1 + (at + index) % 50),
      })
    ));
  },
};

/** Injects the faults of a plan at their times. */
export async function injectFaults(
  world: World,
  plan: Fault[],
): Promise<void> {
  const startedAt = Date.now();
  const running: Promise<void>[] = [];
  for (const fault of plan) {
    await sleep(Math.max(0, startedAt + fault.at - Date.now()));
    const inject = INJECTORS[fault.kind] as (
      world: World,
      fault: Fault,
    ) => Promise<void>;
    running.push(inject(world, fault).catch(() => {}));
  }
  await Promise.all(running);
}
