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

function call(step: number, over: Partial<CallRecord> = {}): CallRecord {
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
    ...over,
  };
}

/** Two chats and a booking, as they should be. */
function createGoodHistory(): History {
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

/** One way of breaking a good history, by the promise that it breaks. */
const BREAKS: [string, string, (history: History) => void][] = [
  ["order", "a step out of order", (it) => {
    it.services.push({
      requestId: "r9",
      program: PROGRAM,
      step: 1,
      route: "find",
      at: 9,
    });
  }],
  ["history", "a lost token", (it) => {
    const [first] = it.calls;
    if (first?.result?.kind !== "answered") return;
    const words = first.result.text.split(" ");
    first.result.text = words.toSpliced(3, 1).join(" ");
  }],
  ["history", "a doubled token", (it) => {
    const [first] = it.calls;
    if (first?.result?.kind !== "answered") return;
    first.result.text += first.result.text.split(" ")[0] + " ";
  }],
  ["history", "another program's history", (it) => {
    const second = it.calls[1] as CallRecord;
    const other = [{ role: "user", content: "somebody else's" }];
    second.result = { kind: "answered", text: expectedAnswer(other) };
  }],
  ["at_most_once", "a doubled booking", (it) => {
    it.services.push({ ...it.services[0] as History["services"][number] });
  }],
  ["at_most_once", "an answered booking that never ran", (it) => {
    it.services.length = 0;
  }],
  ["not_run", "a booking that ran though it was said not to have", (it) => {
    const booking = it.calls[2] as CallRecord;
    booking.result = { kind: "failed", verdict: "not_run", detail: "" };
  }],
  ["budget", "a program over its budget", (it) => {
    it.engines.push({ ...execution(3, "r5"), outputTokens: 900 });
  }],
  ["memory", "memory held for an ended program", (it) => {
    it.held.push({ engine: "engine-1", program: PROGRAM });
  }],
  ["revisions", "a revision that goes back", (it) => {
    it.sightings.push({ runId: "a", revision: 1, at: 3 });
  }],
  ["edits", "an accepted edit that is lost", (it) => {
    it.accepted.length = 0;
  }],
  ["edits", "a refused edit that is in force", (it) => {
    const [edit] = it.edits;
    if (edit) edit.result = { kind: "refused", detail: "" };
  }],
  ["edits", "an old value in the end", (it) => {
    it.finalCells[0] = { row: "caller/a", column: "weight", value: "1" };
  }],
];

describe("the history checker", () => {
  it("accepts a second run of a call that may be repeated", () => {
    const history = createGoodHistory();
    history.idempotentRoutes = ["find"];
    history.services.push(
      { requestId: "r2", program: PROGRAM, step: 2, route: "find", at: 2 },
      { requestId: "r2", program: PROGRAM, step: 2, route: "find", at: 9 },
    );
    expect(checkHistory(history)).toEqual([]);
  });

  it("accepts a run after its caller was told that it may have run", () => {
    const history = createGoodHistory();
    history.calls.push(call(4, {
      kind: "service",
      completedAt: 5,
      result: { kind: "failed", verdict: "may_have_run", detail: "" },
    }));
    const late = { program: PROGRAM, route: "book" };
    history.services.push(
      { ...late, requestId: "r5", step: 5, at: 6 },
      { ...late, requestId: "r4", step: 4, at: 7 },
    );
    expect(checkHistory(history)).toEqual([]);
  });

  it("finds a late run before the verdict", () => {
    const history = createGoodHistory();
    history.calls.push(call(4, {
      kind: "service",
      completedAt: 9,
      result: { kind: "failed", verdict: "may_have_run", detail: "" },
    }));
    const late = { program: PROGRAM, route: "book" };
    history.services.push(
      { ...late, requestId: "r5", step: 5, at: 6 },
      { ...late, requestId: "r4", step: 4, at: 7 },
    );
    expect(checkHistory(history).map((it) => it.promise)).toEqual(["order"]);
  });

  it("accepts a history that keeps every promise", () => {
    expect(checkHistory(createGoodHistory())).toEqual([]);
  });

  for (const [promise, what, spoil] of BREAKS) {
    it(`finds ${what}`, () => {
      const history = createGoodHistory();
      spoil(history);
      const broken = new Set(checkHistory(history).map((it) => it.promise));
      expect([...broken] as string[]).toEqual([promise]);
    });
  }
});
