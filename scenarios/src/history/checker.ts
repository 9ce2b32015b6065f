import { expectedAnswer } from "@toucantrestle/stand_ins";
import type { CallRecord, History, ServiceExecution } from "./history.ts";

/** Promise that a history may break. */
export type PromiseName =
  | "order"
  | "history"
  | "at_most_once"
  | "not_run"
  | "budget"
  | "memory"
  | "revisions"
  | "edits";

/** A place where a history breaks a promise. */
export interface Violation {
  promise: PromiseName;
  detail: string;
}

type Check = (history: History) => string[];

/** Checks by the promise that they prove. */
export const CHECKS: Record<PromiseName, Check> = {
  order: checkOrder,
  history: checkAnswers,
  at_most_once: checkAtMostOnce,
  not_run: checkNotRun,
  budget: checkBudget,
  memory: checkMemory,
  revisions: checkRevisions,
  edits: checkEdits,
};

/** Returns every place where the history breaks a promise. */
export function checkHistory(history: History): Violation[] {
  const violations: Violation[] = [];
  for (const [promise, check] of Object.entries(CHECKS)) {
    for (const detail of check(history)) {
      violations.push({ promise: promise as PromiseName, detail });
    }
  }
  return violations;
}

/**
 * Services see the steps of a program in its order. What counts of a step is
 * its first execution: a call that may be repeated can run again later. A step
 * whose caller was told `may_have_run` may run after that.
 */
function checkOrder(history: History): string[] {
  const newest = new Map<string, number>();
  const faults: string[] = [];
  for (const it of firstExecutions(history)) {
    const step = newest.get(it.program) ?? 0;
    if (it.step < step && !isAfterVerdict(it, history)) {
      faults.push(`${it.program} ran step ${it.step} after step ${step}`);
    }
    newest.set(it.program, Math.max(step, it.step));
  }
  return faults;
}

function firstExecutions({ services }: History): ServiceExecution[] {
  const seen = new Set<string>();
  return [...services].sort((a, b) => a.at - b.at).filter((it) => {
    const key = `${it.program} ${it.step}`;
    const isFirst = !seen.has(key);
    seen.add(key);
    return isFirst;
  });
}

function isAfterVerdict(it: ServiceExecution, { calls }: History): boolean {
  const call = calls.find((call) => call.requestId === it.requestId);
  return call?.result?.kind === "failed" &&
    call.result.verdict === "may_have_run" &&
    it.at >= (call.completedAt ?? Infinity);
}

/**
 * Each answer follows from the program's own messages alone, whole and without
 * a lost or doubled token. The engine's output is a function of its prompt.
 */
function checkAnswers({ programs, calls }: History): string[] {
  return programs.flatMap(({ program }) => {
    const chats = calls
      .filter((it) => it.program === program && it.kind === "chat")
      .filter((it) => it.result?.kind === "answered")
      .sort((a, b) => a.step - b.step);
    return checkConversation(program, chats);
  });
}

function checkConversation(program: string, chats: CallRecord[]): string[] {
  const messages: { role: string; content: string }[] = [];
  const faults: string[] = [];
  const seen = new Set<number>();
  for (const chat of chats) {
    if (chat.result?.kind !== "answered") continue;
    if (seen.has(chat.step)) {
      faults.push(`${program} step ${chat.step} was answered twice`);
      continue;
    }
    seen.add(chat.step);
    messages.push({ role: "user", content: chat.content });
    const expected = expectedAnswer(messages);
    if (chat.result.text !== expected) {
      faults.push(
        `${program} step ${chat.step} is not the answer to its own history`,
      );
    }
    messages.push({ role: "assistant", content: chat.result.text });
  }
  return faults;
}

/** No call that may not be repeated ran twice; an answered one ran. */
function checkAtMostOnce(history: History): string[] {
  const { services, calls, idempotentRoutes } = history;
  const counts = new Map<string, number>();
  for (const it of services) {
    const key = `${it.program} step ${it.step}`;
    counts.set(key, (counts.get(key) ?? 0) + 1);
  }
  const repeatable = new Set(
    services.filter((it) => idempotentRoutes.includes(it.route))
      .map((it) => `${it.program} step ${it.step}`),
  );
  const doubled = [...counts]
    .filter(([key, count]) => count > 1 && !repeatable.has(key))
    .map(([key, count]) => `${key} ran ${count} times`);
  const missing = calls
    .filter((it) => it.kind === "service" && it.result?.kind === "answered")
    .map((it) => `${it.program} step ${it.step}`)
    .filter((key) => !counts.has(key))
    .map((key) => `${key} was answered and never ran`);
  return [...doubled, ...missing];
}

/** A request that was said not to have run did not run. */
function checkNotRun({ services, engines, calls }: History): string[] {
  const ran = new Set([...services, ...engines].map((it) => it.requestId));
  return calls
    .filter((it) =>
      it.result?.kind === "failed" && it.result.verdict === "not_run"
    )
    .filter((it) => ran.has(it.requestId))
    .map((it) => `${it.requestId} of ${it.program} was said not to have run`);
}

/** What engines computed for a program to its end stays within its budget. */
function checkBudget({ programs, engines }: History): string[] {
  return programs.flatMap(({ program, budgetTokens }) => {
    const spent = engines
      .filter((it) => it.program === program && it.state === "done")
      .reduce((sum, it) => sum + it.promptTokens + it.outputTokens, 0);
    if (spent <= budgetTokens) return [];
    return [`${program} spent ${spent} of ${budgetTokens} tokens`];
  });
}

/** Engines hold nothing for programs that have ended. */
function checkMemory({ programs, held }: History): string[] {
  const ended = new Set(
    programs.filter((it) => it.ended).map((it) => it.program),
  );
  return held
    .filter((it) => ended.has(it.program))
    .map((it) => `${it.engine} holds memory for ${it.program}`);
}

/** The revision in force on a daemon never goes back. */
function checkRevisions({ sightings }: History): string[] {
  const newest = new Map<string, number>();
  const faults: string[] = [];
  for (const { runId, revision } of sightings) {
    const known = newest.get(runId) ?? 0;
    if (revision < known) {
      faults.push(`run ${runId} went from ${known} back to ${revision}`);
    }
    newest.set(runId, Math.max(known, revision));
  }
  return faults;
}

/** Accepted edits are in the history and the last one of a cell is in force. */
function checkEdits({ edits, accepted, finalCells }: History): string[] {
  const revisions = new Map(accepted.map((it) => [it.writeId, it.revision]));
  const faults: string[] = [];
  for (const edit of edits) {
    const revision = revisions.get(edit.writeId);
    if (edit.result?.kind === "accepted" && revision === undefined) {
      faults.push(`accepted edit ${edit.writeId} is lost`);
    }
    if (edit.result?.kind === "refused" && revision !== undefined) {
      faults.push(`refused edit ${edit.writeId} is in force`);
    }
  }
  for (const cell of finalCells) {
    const last = edits
      .filter((it) => it.row === cell.row && it.column === cell.column)
      .filter((it) => revisions.has(it.writeId))
      .sort((a, b) =>
        (revisions.get(b.writeId) ?? 0) - (revisions.get(a.writeId) ?? 0)
      )[0];
    if (last && last.value !== cell.value) {
      faults.push(
        `${cell.row} ${cell.column} is ${cell.value}, not ${last.value}`,
      );
    }
  }
  return faults;
}
