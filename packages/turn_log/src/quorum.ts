import type { Spending, TurnRecord } from "./record.ts";
import { quorumOf, replicasOf, type View } from "./view.ts";

/** What is known about a turn that a request names. */
export type LookupVerdict =
  | { kind: "found"; turn: TurnRecord }
  | { kind: "absent" }
  | { kind: "unknown" };

/** Whether a turn may start within its program's budget. */
export type BudgetVerdict = "granted" | "spent" | "unknown";

/** A replica that replied. */
export interface Witness {
  /** Identity of the replica. */
  member: string;
  /** Whether it has copied all that its view asks of it. */
  isComplete: boolean;
}

/**
 * Judges the replies to a look-up. One copy proves that the turn exists. It is
 * absent only when so many replicas have denied it that no quorum can have
 * kept it, in this view or in the one before.
 */
export function decideLookup(
  view: View,
  key: string,
  replies: (Witness & { found: TurnRecord | undefined })[],
): LookupVerdict {
  const found = replies.find((it) => it.found)?.found;
  if (found) return { kind: "found", turn: found };
  return meetsAllQuorums(view, key, replies)
    ? { kind: "absent" }
    : { kind: "unknown" };
}

/**
 * Whether at least one of these replicas has each record that a quorum kept.
 * A replica that is not complete has only what it was sent itself, so what was
 * kept in the view before asks for enough of that view's replicas.
 */
export function meetsAllQuorums(
  view: View,
  key: string,
  witnesses: Witness[],
): boolean {
  const replicas = replicasOf(view, key).length;
  const meetsCurrent = witnesses.length > replicas - quorumOf(view);
  if (!meetsCurrent) return false;
  if (view.former.length === 0) return true;
  if (witnesses.some((it) => it.isComplete)) return true;
  const before: View = { ...view, members: view.former };
  const formerIds = new Set(replicasOf(before, key).map((it) => it.id));
  const heard = witnesses.filter((it) => formerIds.has(it.member)).length;
  return heard > formerIds.size - quorumOf(before);
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
    replies: (Witness & { spending: Spending })[];
  },
): BudgetVerdict {
  const { view, program, replies } = opts;
  if (!meetsAllQuorums(view, program, replies)) return "unknown";
  let spent = 0;
  for (
    const [turn, it] of Object.entries(
      mergeSpending(replies.map((it) => it.spending)),
    )
  ) {
    if (turn !== opts.turn) spent += it.settled ?? it.reserved;
  }
  return spent + opts.reserve <= opts.budget ? "granted" : "spent";
}
