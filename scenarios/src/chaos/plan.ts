import { uniformInt } from "pure-rand/distribution/uniformInt";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";

/**
 * A fault that starts at `at` and is reverted after `durationMs`. Times in ms
 * from the start of the run.
 */
export type Fault =
  | { kind: "kill"; host: string; at: number; durationMs: number }
  | { kind: "freeze"; host: string; at: number; durationMs: number }
  | { kind: "cut"; host: string; other: string; at: number; durationMs: number }
  | { kind: "store"; faults: StoreFaults; at: number; durationMs: number }
  | { kind: "kill_engine"; engine: string; at: number; durationMs: number }
  | { kind: "cut_streams"; engine: string; at: number; durationMs: number }
  | { kind: "lose_answers"; service: string; at: number; durationMs: number }
  | { kind: "slow_service"; service: string; at: number; durationMs: number }
  | { kind: "edits"; at: number; durationMs: number };

/** Fault settings of the stand-in for the key-value service. */
export interface StoreFaults {
  down?: boolean;
  slowMs?: number;
  loseAnswerShare?: number;
}

/** Names of the processes that a plan can inject faults into. */
export interface PlanTargets {
  hosts: string[];
  engines: string[];
  services: string[];
}

/** Deterministic source of random numbers: a seed always gives the same ones. */
export interface RandomSource {
  /** Returns an integer from `low` to `high`, both inclusive. */
  integer(low: number, high: number): number;
  /** Returns one of the items. */
  pick<T>(items: readonly T[]): T;
}

const MIN_GAP_MS = 300;
const MAX_GAP_MS = 1_500;
/** Maximum number of hosts that are down, frozen or cut off at the same time. */
const MAX_IMPAIRED_HOSTS = 2;

/** Creates a random source from a seed. */
export function createRandomSource(seed: number): RandomSource {
  const generator = xoroshiro128plus(seed);
  const integer = (low: number, high: number) =>
    uniformInt(generator, low, high);
  return {
    integer,
    pick: (items) => items[integer(0, items.length - 1)] as never,
  };
}

/** Plans the faults of a run. The same seed gives the same plan. */
export function planFaults(
  seed: number,
  seconds: number,
  targets: PlanTargets,
): Fault[] {
  const random = createRandomSource(seed);
  const faults: Fault[] = [];
  let at = 1_000;
  while (at < seconds * 1_000) {
    const fault = planFault(random, at, targets);
    if (isAllowed(fault, faults)) faults.push(fault);
    at += random.integer(MIN_GAP_MS, MAX_GAP_MS);
  }
  return faults;
}

const FAULT_FACTORIES:
  ((random: RandomSource, at: number, targets: PlanTargets) => Fault)[] = [
    (random, at, { hosts }) => ({
      kind: "kill",
      host: random.pick(hosts),
      at,
      durationMs: random.integer(1_000, 6_000),
    }),
    (random, at, { hosts }) => ({
      kind: "freeze",
      host: random.pick(hosts),
      at,
      durationMs: random.integer(500, 7_000),
    }),
    (random, at, { hosts }) => ({
      kind: "cut",
      host: random.pick(hosts),
      other: random.pick([...hosts, "store"]),
      at,
      durationMs: random.integer(500, 5_000),
    }),
    (random, at) => ({
      kind: "store",
      faults: random.pick<StoreFaults>([
        { down: true },
        { slowMs: 400 },
        { loseAnswerShare: 0.3 },
      ]),
      at,
      durationMs: random.integer(1_000, 6_000),
    }),
    (random, at, { engines }) => ({
      kind: "kill_engine",
      engine: random.pick(engines),
      at,
      durationMs: random.integer(500, 3_000),
    }),
    (random, at, { engines }) => ({
      kind: "cut_streams",
      engine: random.pick(engines),
      at,
      durationMs: random.integer(300, 1_500),
    }),
    (random, at, { services }) => ({
      kind: "lose_answers",
      service: random.pick(services),
      at,
      durationMs: random.integer(200, 800),
    }),
    (random, at, { services }) => ({
      kind: "slow_service",
      service: random.pick(services),
      at,
      durationMs: random.integer(500, 2_000),
    }),
    (_random, at) => ({ kind: "edits", at, durationMs: 0 }),
  ];

function planFault(
  random: RandomSource,
  at: number,
  targets: PlanTargets,
): Fault {
  return random.pick(FAULT_FACTORIES)(random, at, targets);
}

/**
 * Allows one store fault at a time and at most `MAX_IMPAIRED_HOSTS` impaired
 * hosts, and no two faults that impair the same host. A fault also counts for
 * 4 s after it was reverted.
 */
function isAllowed(fault: Fault, planned: Fault[]): boolean {
  const active = planned.filter((it) =>
    it.at + it.durationMs + 4_000 > fault.at
  );
  if (fault.kind === "store") {
    return !active.some((it) => it.kind === "store");
  }
  const hosts = impairedHosts(fault);
  if (hosts.length === 0) return true;
  if (new Set(hosts).size < hosts.length) return false;
  const impaired = new Set(active.flatMap(impairedHosts));
  if (hosts.some((host) => impaired.has(host))) return false;
  return impaired.size + hosts.length <= MAX_IMPAIRED_HOSTS;
}

function impairedHosts(fault: Fault): string[] {
  if (fault.kind === "kill" || fault.kind === "freeze") return [fault.host];
  if (fault.kind !== "cut") return [];
  return [fault.host, fault.other].filter((it) => it !== "store");
}

/** Formats a fault as one line of text. */
export function formatFault(fault: Fault): string {
  const { kind, at, durationMs, ...rest } = fault;
  const words = Object.values(rest).map((it) =>
    typeof it === "string" ? it : JSON.stringify(it)
  );
  return `${(at / 1_000).toFixed(1)} s ${kind} ${
    words.join(" ")
  } for ${durationMs} ms`;
}
