import { expectedAnswer } from "@toucantrestle/stand_ins";
import type { CallRecord, History, ServiceExecution } from "./history.ts";

/** Guarantee of the system that a history can violate. */
export type GuaranteeName =
  | "order"
  | "history"
  | "at_most_once"
  | "not_run"
  | "budget"
  | "memory"
  | "revisions"
  | "edits";

/** A violation of a guarantee, found in a history. */
export interface Violation {
  guarantee: GuaranteeName;
  detail: string;
}

type Check = (history: History) => string[];

/** Check functions, keyed by the guarantee that they verify. */
export const CHECKS: Record<GuaranteeName, Check> = {
  order: checkOrder,
  history: checkAnswers,
  at_most_once: checkAtMostOnce,
  not_run: checkNotRun,
  budget: checkBudget,
  memory: checkMemory,
  revisions: checkRevisions,
  edits: checkEdits,
};

/** Returns all violations that the history contains. */
export function checkHistory(history: History): Violation[] {
  const violations: Violation[] = [];
  for (const [guarantee, check] of Object.entries(CHECKS)) {
    for (const detail of check(history)) {
      violations.push({ guarantee: guarantee as GuaranteeName, detail });
    }
  }
  return violations;
}

/**
 * Verifies that services execute the steps of a program in program order. Only
 * the first execution of a step counts, because an idempotent call may be
 * executed again by a retry. A step can also execute late if its caller had
 * already received the verdict `may_have_run`.
 */
function checkOrder(history: History): string[] {
  const highestSteps = new Map<string, number>();
  const violations: string[] = [];
  for (const it of firstExecutions(history)) {
    const step = highestSteps.get(it.program) ?? 0;
    if (it.step < step && !isAfterVerdict(it, history)) {
      violations.push(`${it.program} ran step ${it.step} after step ${step}`);
    }
    highestSteps.set(it.program, Math.max(step, it.step));
  }
  return violations;
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
 * Verifies that each answer is derived from the program's own messages only and
 * has no missing or duplicated tokens. The output of the stand-in engine is a
 * pure function of its prompt, so the expected answer can be recomputed.
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
  const violations: string[] = [];
  const seen = new Set<number>();
  for (const chat of chats) {
    if (chat.result?.kind !== "answered") continue;
    if (seen.has(chat.step)) {
      violations.push(`${program} step ${chat.step} was answered twice`);
      continue;
    }
    seen.add(chat.step);
    messages.push({ role: "user", content: chat.content });
    const expected = expectedAnswer(messages);
    if (chat.result.text !== expected) {
      violations.push(
        `${program} step ${chat.step}: answer does not match the program's own history`,
      );
    }
    messages.push({ role: "assistant", content: chat.result.text });
  }
  return violations;
}

/**
 * Verifies that no call of a non-idempotent route executed twice, and that each
 * answered service call executed.
 */
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
  const repeated = [...counts]
    .filter(([key, count]) => count > 1 && !repeatable.has(key))
    .map(([key, count]) => `${key} ran ${count} times`);
  const missing = calls
    .filter((it) => it.kind === "service" && it.result?.kind === "answered")
    .map((it) => `${it.program} step ${it.step}`)
    .filter((key) => !counts.has(key))
    .map((key) => `${key} was answered but never ran`);
  return [...repeated, ...missing];
}

/** Verifies that no request with the verdict `not_run` was executed. */
function checkNotRun({ services, engines, calls }: History): string[] {
  const ran = new Set([...services, ...engines].map((it) => it.requestId));
  return calls
    .filter((it) =>
      it.result?.kind === "failed" && it.result.verdict === "not_run"
    )
    .filter((it) => ran.has(it.requestId))
    .map((it) =>
      `request ${it.requestId} of ${it.program} ran despite verdict not_run`
    );
}

/**
 * Verifies that the tokens of a program's completed engine executions stay
 * within its budget.
 */
function checkBudget({ programs, engines }: History): string[] {
  return programs.flatMap(({ program, budgetTokens }) => {
    const spent = engines
      .filter((it) => it.program === program && it.state === "done")
      .reduce((sum, it) => sum + it.promptTokens + it.outputTokens, 0);
    if (spent <= budgetTokens) return [];
    return [
      `${program} spent ${spent} tokens, over its budget of ${budgetTokens}`,
    ];
  });
}

/** Verifies that engines hold no memory for ended programs. */
function checkMemory({ programs, held }: History): string[] {
  const ended = new Set(
    programs.filter((it) => it.ended).map((it) => it.program),
  );
  return held
    .filter((it) => ended.has(it.program))
    .map((it) =>
      `${it.engine} still holds memory for ended program ${it.program}`
    );
}

/**
 * Verifies that the table revision of a daemon run never decreases. A run is one
 * start of a daemon process.
 */
function checkRevisions({ sightings }: History): string[] {
  const highestRevisions = new Map<string, number>();
  const violations: string[] = [];
  for (const { runId, revision } of sightings) {
    const highest = highestRevisions.get(runId) ?? 0;
    if (revision < highest) {
      violations.push(
        `run ${runId} went back from revision ${highest} to ${revision}`,
      );
    }
    highestRevisions.set(runId, Math.max(highest, revision));
  }
  return violations;
}

/**
 * Verifies that each accepted edit is in the table's edit history, that no
 * refused edit is, and that each cell has the value of its last edit.
 */
function checkEdits({ edits, accepted, finalCells }: History): string[] {
  const revisions = new Map(accepted.map((it) => [it.writeId, it.revision]));
  const violations: string[] = [];
  for (const edit of edits) {
    const revision = revisions.get(edit.writeId);
    if (edit.result?.kind === "accepted" && revision === undefined) {
      violations.push(
        `accepted edit ${edit.writeId} is missing from the edit history`,
      );
    }
    if (edit.result?.kind === "refused" && revision !== undefined) {
      violations.push(`refused edit ${edit.writeId} was applied`);
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
      violations.push(
        `${cell.row} ${cell.column} is ${cell.value}, expected ${last.value}`,
      );
    }
  }
  return violations;
}
