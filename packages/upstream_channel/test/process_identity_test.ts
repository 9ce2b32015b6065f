import { createManualTimer } from "@toucantrestle/timer";
import { expect } from "earl";
import { describe, it } from "node:test";
import {
  type ProcessAnswer,
  ProcessIdentity,
  type ProcessQuestion,
} from "../src/process_identity.ts";

const QUESTION: ProcessQuestion = {
  createRequest: () => {
    throw new Error("not asked in these tests");
  },
  parse: () => ({ kind: "unknown" }),
};
/** Longer than a restart takes to be read in the store. */
const LONG_MS = 10_000;

function named(name: string): ProcessAnswer {
  return { kind: "name", name };
}

function createFixture({ expectedName }: { expectedName?: string } = {}) {
  const timer = createManualTimer();
  timer.advance(LONG_MS);
  const store = { isCurrent: true };
  const others: string[] = [];
  const identity = new ProcessIdentity({
    questions: [QUESTION, QUESTION],
    expectedName,
    onOther: (name) => others.push(name),
    isCurrent: () => store.isCurrent,
    timer,
  });
  return { identity, timer, store, others };
}

/** Loses all connections some time after the last use. */
function lose({ identity, timer }: ReturnType<typeof createFixture>): void {
  timer.advance(1);
  identity.recordLoss();
  timer.advance(1);
}

// Guards against a process that is taken for the one of an entry (ORDER).
describe("a process that its entry names", () => {
  it("is proven by that name alone", () => {
    const { identity, others } = createFixture({ expectedName: "5" });
    expect(identity.verdictUnasked()).toEqual("ask_again");
    expect(identity.verdictOn({ kind: "unknown" })).toEqual("unknown_process");
    expect(identity.verdictOn(named("9"))).toEqual("other_process");
    expect(others).toEqual(["9"]);
    expect(identity.verdictOn(named("5"))).toEqual("proven");
  });

  it("stays another one however long it has its name", () => {
    const { identity, timer } = createFixture({ expectedName: "5" });
    expect(identity.verdictOn(named("9"))).toEqual("other_process");
    timer.advance(LONG_MS);
    expect(identity.verdictOn(named("9"))).toEqual("other_process");
  });
});

// Guards against a process that is taken for the one of an entry (ORDER).
describe("a process that its entry does not name", () => {
  it("is proven by the name that it had while the entry was current", () => {
    const fixture = createFixture();
    const { identity, store } = fixture;
    expect(identity.verdictOn(named("e1"))).toEqual("proven");
    expect(identity.verdictUnasked()).toEqual("trusted");
    store.isCurrent = false;
    expect(identity.verdictUnasked()).toEqual("trusted");
    lose(fixture);
    expect(identity.verdictUnasked()).toEqual("ask_again");
    expect(identity.verdictOn(named("e2"))).toEqual("other_process");
    expect(identity.verdictOn(named("e1"))).toEqual("proven");
  });

  it("is not known by a name that is first heard out of step", () => {
    const { identity, store } = createFixture();
    store.isCurrent = false;
    expect(identity.verdictOn(named("e1"))).toEqual("unknown_process");
  });

  it("is not known by a name that is first heard just after a loss", () => {
    const fixture = createFixture();
    lose(fixture);
    expect(fixture.identity.verdictOn(named("e1"))).toEqual("unknown_process");
    fixture.timer.advance(LONG_MS);
    expect(fixture.identity.verdictOn(named("e1"))).toEqual("proven");
  });

  // Guards against an upstream that gets no streams any more (LOST).
  it("is proven by a new name once its entry would have been read", () => {
    const fixture = createFixture();
    const { identity, timer } = fixture;
    identity.verdictOn(named("e1"));
    lose(fixture);
    expect(identity.verdictOn(named("e2"))).toEqual("other_process");
    timer.advance(LONG_MS);
    expect(identity.verdictOn(named("e2"))).toEqual("proven");
  });
});

// Guards against a process that is taken for the one of an entry (ORDER).
describe("a process that has no name", () => {
  it("counts as that of the entry until it is lost out of step", () => {
    const fixture = createFixture();
    const { identity, store } = fixture;
    identity.recordUse();
    expect(identity.verdictOn({ kind: "none" })).toEqual("ask_again");
    expect(identity.verdictOn({ kind: "none" })).toEqual("trusted");
    store.isCurrent = false;
    expect(identity.verdictUnasked()).toEqual("trusted");
    lose(fixture);
    expect(identity.verdictUnasked()).toEqual("unknown_process");
    store.isCurrent = true;
    expect(identity.verdictUnasked()).toEqual("trusted");
  });

  it("is not known if it was not connected in step", () => {
    const { identity, store } = createFixture();
    store.isCurrent = false;
    identity.verdictOn({ kind: "none" });
    expect(identity.verdictOn({ kind: "none" })).toEqual("unknown_process");
  });
});
