import { expect } from "earl";
import { describe, it } from "node:test";
import {
  type EngineSoftware,
  listUnableToContinue,
} from "../src/output_origin.ts";

function createEngine(
  name: string,
  opts: Partial<EngineSoftware> = {},
): EngineSoftware {
  return { name, canResume: true, softwareVersion: "1", ...opts };
}

describe("output that an engine has begun", () => {
  // Guards against an answer with output of two software versions (ORDER).
  it("is not continued by engines of other software", () => {
    const engines = [
      createEngine("same"),
      createEngine("other", { softwareVersion: "2" }),
      createEngine("silent", { softwareVersion: undefined }),
      createEngine("unable", { canResume: false }),
    ];
    expect(listUnableToContinue(engines, { softwareVersion: "1" })).toEqual(
      ["other", "silent", "unable"],
    );
  });

  // Guards against a version that is guessed (ORDER).
  it("is continued by no engine if its software is not known", () => {
    const engines = [
      createEngine("known"),
      createEngine("silent", { softwareVersion: undefined }),
    ];
    expect(listUnableToContinue(engines, { softwareVersion: undefined }))
      .toEqual(["known", "silent"]);
  });
});
