import { expect } from "earl";
import fc from "fast-check";
import { describe, it } from "node:test";
import {
  admitCall,
  applyRecord,
  availableTokens,
  type JournalRecord,
  type Ledgers,
  newMessages,
  nextStep,
  packChunk,
  packEntry,
  unpackChunk,
  unpackEntry,
} from "../src/mod.ts";
import {
  accepted,
  answered,
  failed,
  ledgerAfter,
  started,
} from "./fixtures.ts";

const PROGRAM = "p01-a";

function request(step: number | undefined, id: string, reservedTokens = 100) {
  return { step, requestId: id, fingerprint: `f${step}`, reservedTokens };
}

describe("a ledger", () => {
  it("keeps the history of answered calls in order", () => {
    const ledger = ledgerAfter(PROGRAM, [
      started(PROGRAM),
      accepted(PROGRAM, 1),
      answered(PROGRAM, 1),
      accepted(PROGRAM, 2),
      answered(PROGRAM, 2),
    ]);
    expect(ledger.history.map((it) => it.content)).toEqual([
      "question 1",
      "answer 1",
      "question 2",
      "answer 2",
    ]);
    expect(nextStep(ledger)).toEqual(3);
  });

  it("leaves a step open when the call was not run", () => {
    const ledger = ledgerAfter(PROGRAM, [
      started(PROGRAM),
      accepted(PROGRAM, 1, { idempotent: false }),
      failed(PROGRAM, 1, "not_run"),
    ]);
    expect(nextStep(ledger)).toEqual(1);
    expect(ledger.history).toEqual([]);
  });

  it("consumes the step of a call that may have run and may not be repeated", () => {
    const ledger = ledgerAfter(PROGRAM, [
      started(PROGRAM),
      accepted(PROGRAM, 1, { idempotent: false }),
      failed(PROGRAM, 1, "may_have_run"),
    ]);
    expect(nextStep(ledger)).toEqual(2);
    const admission = admitCall(ledger, request(1, "r1"));
    expect(admission.kind).toEqual("repeat");
  });

  it("replaces a verdict by the real outcome when that comes late", () => {
    const ledger = ledgerAfter(PROGRAM, [
      started(PROGRAM),
      accepted(PROGRAM, 1, { idempotent: false }),
      failed(PROGRAM, 1, "may_have_run"),
      answered(PROGRAM, 1),
    ]);
    expect(ledger.steps[0]?.outcome.kind).toEqual("answered");
    expect(nextStep(ledger)).toEqual(2);
  });

  it("remembers a request that may have run while its step is open", () => {
    const records = [
      started(PROGRAM),
      accepted(PROGRAM, 1),
      failed(PROGRAM, 1, "may_have_run"),
    ];
    expect(ledgerAfter(PROGRAM, records).interrupted).toEqual(["r1"]);
    const after = [...records, accepted(PROGRAM, 1), answered(PROGRAM, 1)];
    expect(ledgerAfter(PROGRAM, after).interrupted).toEqual([]);
  });

  it("never lets a late verdict replace an answer", () => {
    const ledger = ledgerAfter(PROGRAM, [
      started(PROGRAM),
      accepted(PROGRAM, 1),
      answered(PROGRAM, 1),
      failed(PROGRAM, 1, "may_have_run"),
    ]);
    expect(ledger.steps[0]?.outcome.kind).toEqual("answered");
  });
});

describe("admission", () => {
  const ledger = ledgerAfter(PROGRAM, [
    started(PROGRAM),
    accepted(PROGRAM, 1),
    answered(PROGRAM, 1),
  ]);

  it("runs the next step", () => {
    expect(admitCall(ledger, request(2, "new"))).toEqual({
      kind: "run",
      step: 2,
    });
  });

  it("refuses a gap", () => {
    const admission = admitCall(ledger, request(4, "new"));
    expect(admission.kind === "refuse" && admission.error.verdict)
      .toEqual("not_run");
  });

  it("returns the recorded outcome for a repeat", () => {
    expect(admitCall(ledger, request(1, "r1")).kind).toEqual("repeat");
  });

  it("refuses a repeat with other content", () => {
    const changed = { ...request(1, "r1"), fingerprint: "other" };
    expect(admitCall(ledger, changed).kind).toEqual("refuse");
  });

  it("refuses what the budget does not cover", () => {
    const admission = admitCall(ledger, request(2, "new", 951));
    expect(admission.kind === "refuse" && admission.error.status).toEqual(402);
    expect(admitCall(ledger, request(2, "new", 950)).kind).toEqual("run");
  });

  it("joins the call that the request repeats while it runs", () => {
    const running = ledgerAfter(PROGRAM, [
      started(PROGRAM),
      accepted(PROGRAM, 1),
    ]);
    expect(admitCall(running, request(1, "r1")).kind).toEqual("join");
    expect(admitCall(running, request(1, "other")).kind).toEqual("refuse");
  });
});

describe("new messages", () => {
  const ledger = ledgerAfter(PROGRAM, [
    started(PROGRAM),
    accepted(PROGRAM, 1),
    answered(PROGRAM, 1),
  ]);

  it("are what follows a whole list that continues the history", () => {
    const next = { role: "user" as const, content: "next" };
    expect(newMessages(ledger, [...ledger.history, next])).toEqual([next]);
  });

  it("are all messages when the list does not continue the history", () => {
    const next = { role: "user" as const, content: "next" };
    expect(newMessages(ledger, [next])).toEqual([next]);
  });
});

/** Records of one program in any order and number. */
function anyRecord(): fc.Arbitrary<JournalRecord> {
  const step = fc.integer({ min: 1, max: 4 });
  const tokens = fc.integer({ min: 0, max: 200 });
  return fc.oneof(
    fc.constant(started(PROGRAM)),
    fc.tuple(step, fc.boolean(), tokens).map(([at, idempotent, reserved]) =>
      accepted(PROGRAM, at, { idempotent, reserved })
    ),
    fc.tuple(step, tokens).map(([at, spent]) => answered(PROGRAM, at, spent)),
    step.map((at) => failed(PROGRAM, at, "may_have_run")),
    step.map((at) => failed(PROGRAM, at, "not_run")),
  );
}

describe("a journal", () => {
  it("gives the same ledgers when it is packed, unpacked and replayed", () => {
    fc.assert(fc.property(fc.array(anyRecord()), (records) => {
      const direct: Ledgers = new Map();
      for (const record of records) applyRecord(direct, record);
      const chunk = packChunk(records.map((it, i) => packEntry(i + 1, it)));
      const replayed: Ledgers = new Map();
      for (const entry of unpackChunk(chunk)) {
        applyRecord(replayed, unpackEntry(entry));
      }
      expect(JSON.stringify([...replayed])).toEqual(
        JSON.stringify([...direct]),
      );
    }));
  });

  it("continues from a snapshot as from the records before it", () => {
    fc.assert(
      fc.property(
        fc.array(anyRecord()),
        fc.array(anyRecord()),
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

  it("never spends more than the budget when calls are admitted", () => {
    const call = fc.tuple(
      fc.integer({ min: 1, max: 400 }),
      fc.double({ min: 0, max: 1, noNaN: true }),
    );
    fc.assert(fc.property(fc.array(call), (calls) => {
      const ledgers: Ledgers = new Map();
      applyRecord(ledgers, started(PROGRAM, 1_000));
      for (const [reserved, share] of calls) {
        const ledger = ledgers.get(PROGRAM);
        if (!ledger) return;
        const step = nextStep(ledger);
        const admission = admitCall(
          ledger,
          request(step, `n${step}`, reserved),
        );
        if (admission.kind !== "run") continue;
        applyRecord(ledgers, accepted(PROGRAM, step, { reserved }));
        const spent = Math.floor(reserved * share);
        applyRecord(ledgers, answered(PROGRAM, step, spent));
        expect(availableTokens(ledger) >= 0).toEqual(true);
      }
    }));
  });
});
