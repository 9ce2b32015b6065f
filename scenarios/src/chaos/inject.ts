import {
  sleep,
  type TestEnvironment,
} from "../environment/test_environment.ts";
import type { Fault } from "./plan.ts";

type Injectors = {
  [K in Fault["kind"]]: (
    env: TestEnvironment,
    fault: Extract<Fault, { kind: K }>,
  ) => Promise<void>;
};

const INJECTORS: Injectors = {
  kill: async ({ fleet }, { host, durationMs }) => {
    fleet.daemons.get(host)?.process.signal("SIGKILL");
    await sleep(durationMs);
    fleet.restartDaemon(host);
  },
  freeze: async ({ fleet }, { host, durationMs }) => {
    const daemon = fleet.daemons.get(host);
    daemon?.process.signal("SIGSTOP");
    await sleep(durationMs);
    daemon?.process.signal("SIGCONT");
  },
  cut: async (env, { host, other, durationMs }) => {
    await env.cut(host, other);
    await sleep(durationMs);
    await env.heal();
  },
  store: async ({ fleet }, { faults, durationMs }) => {
    await fleet.setFaults("store", faults);
    await sleep(durationMs);
    await fleet.setFaults("store", {
      down: false,
      slowMs: 0,
      loseAnswerShare: 0,
    });
  },
  kill_engine: async ({ fleet }, { engine, durationMs }) => {
    fleet.upstreams.get(engine)?.process.signal("SIGKILL");
    await sleep(durationMs);
    fleet.restartUpstream(engine);
  },
  cut_streams: async ({ fleet }, { engine, durationMs }) => {
    await fleet.setFaults(engine, { cutAfterTokens: 15 });
    await sleep(durationMs);
    await fleet.setFaults(engine, { cutAfterTokens: 0 });
  },
  lose_answers: async ({ fleet }, { service, durationMs }) => {
    await fleet.setFaults(service, { loseAnswer: true });
    await sleep(durationMs);
    await fleet.setFaults(service, { loseAnswer: false });
  },
  slow_service: async ({ fleet }, { service, durationMs }) => {
    await fleet.setFaults(service, { slowMs: 2_500 });
    await sleep(durationMs);
    await fleet.setFaults(service, { slowMs: 0 });
  },
  edits: async (env, { at }) => {
    const hosts = [...env.fleet.daemons.values()]
      .filter((it) => it.process.isRunning)
      .slice(0, 3);
    await Promise.all(hosts.map((host, index) =>
      env.edit(host.name, {
        row: index === 2 ? "caller/bob" : "caller/alice",
        column: "weight",
        value: String(1 + (at + index) % 50),
      })
    ));
  },
};

/**
 * Injects each fault of the plan at its planned time, and resolves when all of
 * them have been reverted. Errors of an injection are ignored.
 */
export async function injectFaults(
  env: TestEnvironment,
  plan: Fault[],
): Promise<void> {
  const startedAt = Date.now();
  const running: Promise<void>[] = [];
  for (const fault of plan) {
    await sleep(Math.max(0, startedAt + fault.at - Date.now()));
    const inject = INJECTORS[fault.kind] as (
      env: TestEnvironment,
      fault: Fault,
    ) => Promise<void>;
    running.push(inject(env, fault).catch(() => {}));
  }
  await Promise.all(running);
}
