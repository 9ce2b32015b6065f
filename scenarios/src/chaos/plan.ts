import { uniformInt } from "pure-rand/distribution/uniformInt";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";

/** A fault that begins at a time and ends after a while. Times in ms. */
export type Fault =
  | { kind: "kill"; host: string; at: number; forMs: number }
  | { kind: "freeze"; host: string; at: number; forMs: number }
  | { kind: "cut"; host: string; other: string; at: number; forMs: number }
  | { kind: "store"; faults: StoreFaults; at: number; forMs: number }
  | { kind: "kill_engine"; engine: string; at: number; forMs: number }
  | { kind: "cut_streams"; engine: string; at: number; forMs: number }
  | { kind: "lose_answers"; service: string; at: number; forMs: number }
  | { kind: "slow_service"; service: string; at: number; forMs: number }
  | { kind: "edits"; at: number; forMs: number };

/** Fault switches of the key-value service's stand-in. */
export interface StoreFaults {
  down?: boolean;
  slowMs?: number;
  loseAnswerShare?: number;
}

/** Names that a plan may use. */
export interface PlanTargets {
  hosts: string[];
  engines: string[];
  services: string[];
}

/** Source of whole numbers, the same for the same seed. */
export interface Dice {
  /** A whole number from `low` to `high`, both included. */
  roll(low: number, high: number): number;
  /** One of the items. */
  pick<T>(items: readonly T[]): T;
}

const MIN_GAP_MS = 300;
const MAX_GAP_MS = 1_500;
/** Hosts that may be down, paused or cut off at once. */
const MAX_IMPAIRED_HOSTS = 2;

/** Creates dice for a seed. */
export function createDice(seed: number): Dice {
  const generator = xoroshiro128plus(seed);
  const roll = (low: number, high: number) => uniformInt(generator, low, high);
  return {
    roll,
    pick: (items) => items[roll(0, items.length - 1)] as never,
  };
}

/** Plans the faults of a run: the same for the same seed. */
export function planFaults(
  seed: number,
  seconds: number,
  targets: PlanTargets,
): Fault[] {
  const dice = createDice(seed);
  const faults: Fault[] = [];
  let at = 1_000;
  while (at < seconds * 1_000) {
    const fault = planOne(dice, at, targets);
    if (isAllowed(fault, faults)) faults.push(fault);
    at += dice.roll(MIN_GAP_MS, MAX_GAP_MS);
  }
  return faults;
}

const MAKERS: ((dice: Dice, at: number, targets: PlanTargets) => Fault)[] = [
  (dice, at, { hosts }) => ({
    kind: "kill",
    host: dice.pick(hosts),
    at,
    forMs: dice.roll(1_000, 6_000),
  }),
  (dice, at, { hosts }) => ({
    kind: "freeze",
    host: dice.pick(hosts),
    at,
    forMs: dice.roll(500, 7_000),
  }),
  (dice, at, { hosts }) => ({
    kind: "cut",
    host: dice.pick(hosts),
    other: dice.pick([...hosts, "store"]),
    at,
    forMs: dice.roll(500, 5_000),
  }),
  (dice, at) => ({
    kind: "store",
    faults: dice.pick<StoreFaults>([
      { down: true },
      { slowMs: 400 },
      { loseAnswerShare: 0.3 },
    ]),
    at,
    forMs: dice.roll(1_000, 6_000),
  }),
  (dice, at, { engines }) => ({
    kind: "kill_engine",
    engine: dice.pick(engines),
    at,
    forMs: dice.roll(500, 3_000),
  }),
  (dice, at, { engines }) => ({
    kind: "cut_streams",
    engine: dice.pick(engines),
    at,
    forMs: dice.roll(300, 1_500),
  }),
  (dice, at, { services }) => ({
    kind: "lose_answers",
    service: dice.pick(services),
    at,
    forMs: dice.roll(200, 800),
  }),
  (dice, at, { services }) => ({
    kind: "slow_service",
    service: dice.pick(services),
    at,
    forMs: dice.roll(500, 2_000),
  }),
  (_dice, at) => ({ kind: "edits", at, forMs: 0 }),
];

function planOne(dice: Dice, at: number, targets: PlanTargets): Fault {
  return dice.pick(MAKERS)(dice, at, targets);
}

/** One fault of the store at a time, and few impaired hosts. */
function isAllowed(fault: Fault, planned: Fault[]): boolean {
  const active = planned.filter((it) => it.at + it.forMs + 4_000 > fault.at);
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

/** Writes a fault as a line. */
export function formatFault(fault: Fault): string {
  const { kind, at, forMs, ...rest } = fault;
  const words = Object.values(rest).map((it) =>
    typeof it === "string" ? it : JSON.stringify(it)
  );
  return `${(at / 1_000).toFixed(1)} s ${kind} ${
    words.join(" ")
  } for ${forMs} ms`;
}
