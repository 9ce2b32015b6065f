import type { AnsweredOutcome } from "@toucantrestle/program";
import type { ResponseSink, ResponseStart } from "@toucantrestle/sibling";
import { expect } from "earl";
import { describe, it } from "node:test";
import { writeOutcome } from "../src/outcome_writer.ts";

/** Returns the start of the response that is written for an outcome. */
function startOf(fields: Partial<AnsweredOutcome>): ResponseStart | undefined {
  let start: ResponseStart | undefined;
  const sink: ResponseSink = {
    head: (it) => start = it,
    data() {},
    end() {},
    hasStarted: false,
  };
  const outcome: AnsweredOutcome = {
    kind: "answered",
    status: 200,
    contentType: "text/plain",
    body: "half of it",
    ...fields,
  };
  writeOutcome(outcome, { id: "q1", model: "" }, sink);
  return start;
}

// Guards against claiming that a body is complete when its service did not.
describe("the response of a recorded outcome", () => {
  it("ends with its connection if the service's response did", () => {
    const start = startOf({ endsWithConnection: true });
    expect(start?.endsWithConnection).toEqual(true);
  });

  it("marks its end if the service's response did", () => {
    expect(startOf({})?.endsWithConnection).toEqual(false);
  });
});
