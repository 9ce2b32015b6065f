import { expect } from "earl";
import fc from "fast-check";
import { describe, it } from "node:test";
import {
  admitCall,
  applyRecord,
  availableTokens,
  decodeChunk,
  decodeEntry,
  encodeChunk,
  encodeEntry,
  extractNewMessages,
  type JournalRecord,
  type Ledgers,
  nextStep,
} from "../src/mod.ts";
import {
  buildLedger,
  callAccepted,
  callAnswered,
  callFailed,
  programStarted,
} from "./fixtures.ts";

const PROGRAM = "p01-a";

function callRequest(
  step: number | undefined,
  id: string,
  reservedTokens = 100,
) {
  return { step, requestId: id, fingerprint: `f${step}`, reservedTokens };
}

describe("ledger", () => {
  it("records the history of successful calls in step order", () => {
    const ledger = buildLedger(PROGRAM, [
      programStarted(PROGRAM),
      callAccepted(PROGRAM, 1),
      callAnswered(PROGRAM, 1),
      callAccepted(PROGRAM, 2),
      callAnswered(PROGRAM, 2),
    ]);
    expect(ledger.history.map((it) => it.content)).toEqual([
      "question 1",
      "answer 1",
      "question 2",
      "answer 2",
    ]);
    expect(nextStep(ledger)).toEqual(3);
  });

  it("leaves the step open if the call did not run", () => {
    const ledger = buildLedger(PROGRAM, [
      programStarted(PROGRAM),
      callAccepted(PROGRAM, 1, { idempotent: false }),
      callFailed(PROGRAM, 1, "not_run"),
    ]);
    expect(nextStep(ledger)).toEqual(1);
    expect(ledger.history).toEqual([]);
  });

  it("completes the step of a non-idempotent call that may have run", () => {
    const ledger = buildLedger(PROGRAM, [
      programStarted(PROGRAM),
      callAccepted(PROGRAM, 1, { idempotent: false }),
      callFailed(PROGRAM, 1, "may_have_run"),
    ]);
    expect(nextStep(ledger)).toEqual(2);
    const admission = admitCall(ledger, callRequest(1, "r1"));
    expect(admission.kind).toEqual("repeat");
  });

  it("replaces a failure by the actual outcome when a late response arrives", () => {
    const ledger = buildLedger(PROGRAM, [
      programStarted(PROGRAM),
      callAccepted(PROGRAM, 1, { idempotent: false }),
      callFailed(PROGRAM, 1, "may_have_run"),
      callAnswered(PROGRAM, 1),
    ]);
    expect(ledger.steps[0]?.outcome.kind).toEqual("answered");
    expect(nextStep(ledger)).toEqual(2);
  });

  it("records a request that may have run until its step is completed", () => {
    const records = [
      programStarted(PROGRAM),
      callAccepted(PROGRAM, 1),
      callFailed(PROGRAM, 1, "may_have_run"),
    ];
    expect(buildLedger(PROGRAM, records).interrupted).toEqual(["r1"]);
    const after = [
      ...records,
      callAccepted(PROGRAM, 1),
      callAnswered(PROGRAM, 1),
    ];
    expect(buildLedger(PROGRAM, after).interrupted).toEqual([]);
  });

  it("does not replace a recorded response by a late failure", () => {
    const ledger = buildLedger(PROGRAM, [
      programStarted(PROGRAM),
      callAccepted(PROGRAM, 1),
      callAnswered(PROGRAM, 1),
      callFailed(PROGRAM, 1, "may_have_run"),
    ]);
    expect(ledger.steps[0]?.outcome.kind).toEqual("answered");
  });
});

describe("admission", () => {
  const ledger = buildLedger(PROGRAM, [
    programStarted(PROGRAM),
    callAccepted(PROGRAM, 1),
    callAnswered(PROGRAM, 1),
  ]);

  it("admits the next step", () => {
    expect(admitCall(ledger, callRequest(2, "new"))).toEqual({
      kind: "run",
      step: 2,
    });
  });

  it("refuses a call that skips a step", () => {
    const admission = admitCall(ledger, callRequest(4, "new"));
    expect(admission.kind === "refuse" && admission.error.verdict)
      .toEqual("not_run");
  });

  it("returns the recorded outcome for a repeated request", () => {
    expect(admitCall(ledger, callRequest(1, "r1")).kind).toEqual("repeat");
  });

  it("refuses a repeated request with different content", () => {
    const changed = { ...callRequest(1, "r1"), fingerprint: "other" };
    expect(admitCall(ledger, changed).kind).toEqual("refuse");
  });

  it("refuses a call whose worst-case cost exceeds the budget", () => {
    const admission = admitCall(ledger, callRequest(2, "new", 951));
    expect(admission.kind === "refuse" && admission.error.status).toEqual(402);
    expect(admitCall(ledger, callRequest(2, "new", 950)).kind).toEqual("run");
  });

  it("joins a repeated request with the call in flight", () => {
    const running = buildLedger(PROGRAM, [
      programStarted(PROGRAM),
      callAccepted(PROGRAM, 1),
    ]);
    expect(admitCall(running, callRequest(1, "r1")).kind).toEqual("join");
    expect(admitCall(running, callRequest(1, "other")).kind).toEqual("refuse");
  });
});

describe("new messages", () => {
  const ledger = buildLedger(PROGRAM, [
    programStarted(PROGRAM),
    callAccepted(PROGRAM, 1),
    callAnswered(PROGRAM, 1),
  ]);

  it("are the messages after the history if the list starts with the history", () => {
    const next = { role: "user" as const, content: "next" };
    expect(extractNewMessages(ledger, [...ledger.history, next])).toEqual([
      next,
    ]);
  });

  it("are all messages if the list does not start with the history", () => {
    const next = { role: "user" as const, content: "next" };
    expect(extractNewMessages(ledger, [next])).toEqual([next]);
  });
});

/** Generates records of one program; their order is arbitrary. */
function arbitraryRecord(): fc.Arbitrary<JournalRecord> {
  const step = fc.integer({ min: 1, max: 4 });
  const tokens = fc.integer({ min: 0, max: 200 });
  return fc.oneof(
    fc.constant(programStarted(PROGRAM)),
    fc.tuple(step, fc.boolean(), tokens).map(([at, idempotent, reserved]) =>
      callAccepted(PROGRAM, at, { idempotent, reserved })
    ),
    fc.tuple(step, tokens).map(([at, spent]) =>
      callAnswered(PROGRAM, at, spent)
    ),
    step.map((at) => callFailed(PROGRAM, at, "may_have_run")),
    step.map((at) => callFailed(PROGRAM, at, "not_run")),
  );
}

describe("journal", () => {
  it("rebuilds the same ledgers after serialization, parsing and replay", () => {
    fc.assert(fc.property(fc.array(arbitraryRecord()), (records) => {
      const direct: Ledgers = new Map();
      for (const record of records) applyRecord(direct, record);
      const chunk = encodeChunk(records.map((it, i) => encodeEntry(i + 1, it)));
      const replayed: Ledgers = new Map();
      for (const entry of decodeChunk(chunk)) {
        applyRecord(replayed, decodeEntry(entry));
      }
      expect(JSON.stringify([...replayed])).toEqual(
        JSON.stringify([...direct]),
      );
    }));
  });

  it("yields the same ledgers from a snapshot as from the preceding records", () => {
    fc.assert(
      fc.property(
        fc.array(arbitraryRecord()),
        fc.array(arbitraryRecord()),
        (before, after) => {
          const direct: Ledgers = new Map();
          for (const record of before) applyRecord(direct, record);
          const restored: Ledgers = new Map();
          for (const ledger of direct.values()) {
            const { program } = ledger;
            applyRecord(restored, {
              kind: "program_restored",
              program,
              ledger,
            });
          }
          for (const record of after) {
            applyRecord(direct, record);
            applyRecord(restored, record);
          }
          expect(JSON.stringify([...restored])).toEqual(
            JSON.stringify([...direct]),
          );
        },
      ),
    );
  });

  it("never exceeds the budget with admitted calls", () => {
    const call = fc.tuple(
      fc.integer({ min: 1, max: 400 }),
      fc.double({ min: 0, max: 1, noNaN: true }),
    );
    fc.assert(fc.property(fc.array(call), (calls) => {
      const ledgers: Ledgers = new Map();
      applyRecord(ledgers, programStarted(PROGRAM, 1_000));
      for (const [reserved, share] of calls) {
        const ledger = ledgers.get(PROGRAM);
        if (!ledger) return;
        const step = nextStep(ledger);
        const admission = admitCall(
          ledger,
          callRequest(step, `n${step}`, reserved),
        );
        if (admission.kind !== "run") continue;
        applyRecord(ledgers, callAccepted(PROGRAM, step, { reserved }));
        const spent = Math.floor(reserved * share);
        applyRecord(ledgers, callAnswered(PROGRAM, step, spent));
        expect(availableTokens(ledger) >= 0).toEqual(true);
      }
    }));
  });
});
