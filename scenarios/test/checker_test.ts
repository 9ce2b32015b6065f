import { expectedAnswer } from "@toucantrestle/stand_ins";
import { expect } from "earl";
import { describe, it } from "node:test";
import {
  type CallRecord,
  checkHistory,
  createHistory,
  type History,
} from "../src/mod.ts";

const PROGRAM = "p01-a";

function call(step: number, overrides: Partial<CallRecord> = {}): CallRecord {
  return {
    requestId: `r${step}`,
    caller: "alice",
    program: PROGRAM,
    step,
    kind: "chat",
    content: `question ${step}`,
    invokedAt: step,
    completedAt: step + 1,
    result: undefined,
    ...overrides,
  };
}

/** Returns a valid history of two chats and a booking. */
function createValidHistory(): History {
  const history = createHistory();
  history.programs.push({
    program: PROGRAM,
    caller: "alice",
    budgetTokens: 1_000,
    parent: undefined,
    ended: true,
  });
  const messages = [{ role: "user", content: "question 1" }];
  const first = expectedAnswer(messages);
  messages.push({ role: "assistant", content: first });
  messages.push({ role: "user", content: "question 2" });
  const second = expectedAnswer(messages);
  history.calls.push(
    call(1, { result: { kind: "answered", text: first } }),
    call(2, { result: { kind: "answered", text: second } }),
    call(3, {
      kind: "service",
      content: "book",
      result: { kind: "answered", text: "{}" },
    }),
  );
  history.services.push({
    requestId: "r3",
    program: PROGRAM,
    step: 3,
    route: "book",
    at: 3,
  });
  history.engines.push(execution(1, "r1"), execution(2, "r2"));
  history.edits.push({
    writeId: "w1",
    row: "caller/a",
    column: "weight",
    value: "2",
    result: { kind: "accepted", revision: 2 },
  });
  history.accepted.push({ revision: 2, writeId: "w1" });
  history.sightings.push({ runId: "a", revision: 1, at: 1 });
  history.sightings.push({ runId: "a", revision: 2, at: 2 });
  history.finalCells.push({ row: "caller/a", column: "weight", value: "2" });
  return history;
}

function execution(step: number, requestId: string) {
  return {
    engine: "engine-1",
    requestId,
    program: PROGRAM,
    step,
    promptTokens: 100,
    outputTokens: 100,
    state: "done",
  };
}

/** Violated guarantee, test title and function that corrupts a valid history. */
const CORRUPTIONS: [string, string, (history: History) => void][] = [
  ["order", "a step that ran out of order", (it) => {
    it.services.push({
      requestId: "r9",
      program: PROGRAM,
      step: 1,
      route: "find",
      at: 9,
    });
  }],
  ["history", "a missing token", (it) => {
    const [first] = it.calls;
    if (first?.result?.kind !== "answered") return;
    const words = first.result.text.split(" ");
    first.result.text = words.toSpliced(3, 1).join(" ");
  }],
  ["history", "a duplicated token", (it) => {
    const [first] = it.calls;
    if (first?.result?.kind !== "answered") return;
    first.result.text += first.result.text.split(" ")[0] + " ";
  }],
  ["history", "an answer derived from another program's history", (it) => {
    const second = it.calls[1] as CallRecord;
    const other = [{ role: "user", content: "somebody else's" }];
    second.result = { kind: "answered", text: expectedAnswer(other) };
  }],
  ["at_most_once", "a booking that ran twice", (it) => {
    it.services.push({ ...it.services[0] as History["services"][number] });
  }],
  ["at_most_once", "an answered booking that never ran", (it) => {
    it.services.length = 0;
  }],
  ["not_run", "a booking that ran despite the verdict not_run", (it) => {
    const booking = it.calls[2] as CallRecord;
    booking.result = { kind: "failed", verdict: "not_run", detail: "" };
  }],
  ["budget", "a program that exceeded its budget", (it) => {
    it.engines.push({ ...execution(3, "r5"), outputTokens: 900 });
  }],
  ["memory", "engine memory held for an ended program", (it) => {
    it.held.push({ engine: "engine-1", program: PROGRAM });
  }],
  ["revisions", "a table revision that decreases", (it) => {
    it.sightings.push({ runId: "a", revision: 1, at: 3 });
  }],
  ["edits", "an accepted edit missing from the edit history", (it) => {
    it.accepted.length = 0;
  }],
  ["edits", "a refused edit that was applied", (it) => {
    const [edit] = it.edits;
    if (edit) edit.result = { kind: "refused", detail: "" };
  }],
  ["edits", "a stale value in the final table", (it) => {
    it.finalCells[0] = { row: "caller/a", column: "weight", value: "1" };
  }],
];

describe("checkHistory", () => {
  it("accepts a second execution of an idempotent call", () => {
    const history = createValidHistory();
    history.idempotentRoutes = ["find"];
    history.services.push(
      { requestId: "r2", program: PROGRAM, step: 2, route: "find", at: 2 },
      { requestId: "r2", program: PROGRAM, step: 2, route: "find", at: 9 },
    );
    expect(checkHistory(history)).toEqual([]);
  });

  it("accepts a late execution after the verdict may_have_run", () => {
    const history = createValidHistory();
    history.calls.push(call(4, {
      kind: "service",
      completedAt: 5,
      result: { kind: "failed", verdict: "may_have_run", detail: "" },
    }));
    const booking = { program: PROGRAM, route: "book" };
    history.services.push(
      { ...booking, requestId: "r5", step: 5, at: 6 },
      { ...booking, requestId: "r4", step: 4, at: 7 },
    );
    expect(checkHistory(history)).toEqual([]);
  });

  it("reports a late execution before the verdict may_have_run", () => {
    const history = createValidHistory();
    history.calls.push(call(4, {
      kind: "service",
      completedAt: 9,
      result: { kind: "failed", verdict: "may_have_run", detail: "" },
    }));
    const booking = { program: PROGRAM, route: "book" };
    history.services.push(
      { ...booking, requestId: "r5", step: 5, at: 6 },
      { ...booking, requestId: "r4", step: 4, at: 7 },
    );
    expect(checkHistory(history).map((it) => it.guarantee)).toEqual(["order"]);
  });

  it("accepts a valid history", () => {
    expect(checkHistory(createValidHistory())).toEqual([]);
  });

  for (const [guarantee, title, corrupt] of CORRUPTIONS) {
    it(`reports ${title}`, () => {
      const history = createValidHistory();
      corrupt(history);
      const violated = new Set(checkHistory(history).map((it) => it.guarantee));
      expect([...violated] as string[]).toEqual([guarantee]);
    });
  }
});
