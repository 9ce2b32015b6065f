import type { Spending, TurnRecord } from "./record.ts";
import { quorumSize, replicasOf, type View } from "./view.ts";

/** Result of looking up a turn. */
export type LookupVerdict =
  | { kind: "found"; turn: TurnRecord }
  | { kind: "absent" }
  | { kind: "unknown" };

/** Decision on whether a turn may start within its program's token budget. */
export type BudgetVerdict = "granted" | "spent" | "unknown";

/** Replica that replied to a request. */
export interface Responder {
  /** Identity of the replica. */
  member: string;
  /** Whether it has copied all records that its view assigns to it. */
  isComplete: boolean;
}

/**
 * Evaluates the replies to a lookup. One copy proves that the turn exists. The
 * turn is absent only if enough replicas lack it that no quorum can have stored
 * it, in this view or in the previous one.
 */
export function decideLookup(
  view: View,
  key: string,
  replies: (Responder & { found: TurnRecord | undefined })[],
): LookupVerdict {
  const found = replies.find((it) => it.found)?.found;
  if (found) return { kind: "found", turn: found };
  return intersectsAllQuorums(view, key, replies)
    ? { kind: "absent" }
    : { kind: "unknown" };
}

/**
 * Returns whether the responders intersect every quorum that may have stored a
 * record, so that at least one of them has each such record. A replica that is
 * not complete has only the records written to it directly. Records of the
 * previous view therefore require enough replicas of that view.
 */
export function intersectsAllQuorums(
  view: View,
  key: string,
  responders: Responder[],
): boolean {
  const replicaCount = replicasOf(view, key).length;
  const intersectsCurrent = responders.length > replicaCount - quorumSize(view);
  if (!intersectsCurrent) return false;
  if (view.former.length === 0) return true;
  if (responders.some((it) => it.isComplete)) return true;
  const formerView: View = { ...view, members: view.former };
  const formerIds = new Set(replicasOf(formerView, key).map((it) => it.id));
  const formerResponders =
    responders.filter((it) => formerIds.has(it.member)).length;
  return formerResponders > formerIds.size - quorumSize(formerView);
}

/** Merges the spending of several replicas; settled values take precedence. */
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
 * Decides whether `turn` fits into the budget, after a quorum has written its
 * reservation. Quorums intersect, so among concurrent turns the last one to
 * read sees the reservations of all others.
 */
export function decideBudget(
  opts: {
    view: View;
    program: string;
    turn: string;
    reserve: number;
    budget: number;
    replies: (Responder & { spending: Spending })[];
  },
): BudgetVerdict {
  const { view, program, replies } = opts;
  if (!intersectsAllQuorums(view, program, replies)) return "unknown";
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
