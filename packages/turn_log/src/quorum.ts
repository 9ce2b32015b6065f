import type { Spending, TurnRecord } from "./record.ts";
import { quorumOf, replicasOf, type View } from "./view.ts";

/** What is known about a turn that a request names. */
export type LookupVerdict =
  | { kind: "found"; turn: TurnRecord }
  | { kind: "absent" }
  | { kind: "unknown" };

/** Whether a turn may start within its program's budget. */
export type BudgetVerdict = "granted" | "spent" | "unknown";

/**
 * Judges the replies to a look-up. One copy proves that the turn exists. It is
 * absent only when so many replicas have denied it that no quorum can have
 * kept it.
 */
export function decideLookup(
  view: View,
  key: string,
  replies: { found: TurnRecord | undefined }[],
): LookupVerdict {
  const found = replies.find((it) => it.found)?.found;
  if (found) return { kind: "found", turn: found };
  const replicas = replicasOf(view, key).length;
  const denied = replies.length;
  if (denied > 0 && denied > replicas - quorumOf(view)) {
    return { kind: "absent" };
  }
  return { kind: "unknown" };
}

/** Union of what replicas hold; a settled turn stays settled. */
export function mergeSpending(parts: Spending[]): Spending {
  const merged: Spending = {};
  for (const part of parts) {
    for (const [turn, spent] of Object.entries(part)) {
      const known = merged[turn];
      if (!known || known.settled === undefined) merged[turn] = spent;
    }
  }
  return merged;
}

/**
 * Judges what replicas hold after a quorum has written the reservation of
 * `turn`. Quorums intersect, so of several turns at the same time the last one
 * to read sees the reservations of all the others.
 */
export function decideBudget(
  opts: {
    view: View;
    program: string;
    turn: string;
    reserve: number;
    budget: number;
    replies: Spending[];
  },
): BudgetVerdict {
  const replicas = replicasOf(opts.view, opts.program).length;
  const isKept = opts.replies.length >= quorumOf(opts.view);
  const intersects = 2 * opts.replies.length > replicas;
  if (!isKept || !intersects) return "unknown";
  let spent = 0;
  for (const [turn, it] of Object.entries(mergeSpending(opts.replies))) {
    if (turn !== opts.turn) spent += it.settled ?? it.reserved;
  }
  return spent + opts.reserve <= opts.budget ? "granted" : "spent";
}
