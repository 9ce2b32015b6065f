/** Part of the decisions that can be switched off, to measure its worth. */
export type Mechanism =
  /** Engine speeds learned from answers, in place of the initial values. */
  | "learned_speeds"
  /** Knowledge of the requests that siblings have in flight. */
  | "shared_loads"
  /** Extra weight of prompt tokens that an engine has not cached. */
  | "uncached_weight"
  /** Durations of an upstream relative to the others. */
  | "latency_ratio"
  /** Hints of the turn stores where earlier prompts were processed. */
  | "prompt_hints"
  /** Urgency of turns at the engines. */
  | "urgency"
  /** Second attempts of idempotent calls that are slow. */
  | "slow_attempts";

/** All mechanisms. */
export const MECHANISMS: readonly Mechanism[] = [
  "learned_speeds",
  "shared_loads",
  "uncached_weight",
  "latency_ratio",
  "prompt_hints",
  "urgency",
  "slow_attempts",
];

/**
 * Parses a comma-separated list of mechanisms.
 *
 * @throws {RangeError} if a name is unknown
 */
export function parseMechanisms(text: string): ReadonlySet<Mechanism> {
  const names = text.split(",").filter((it) => it !== "");
  const unknown = names.find((it) => !isMechanism(it));
  if (unknown !== undefined) {
    throw new RangeError(
      `unknown mechanism "${unknown}", known are: ${MECHANISMS.join(", ")}`,
    );
  }
  return new Set(names.filter(isMechanism));
}

function isMechanism(name: string): name is Mechanism {
  return MECHANISMS.some((it) => it === name);
}
