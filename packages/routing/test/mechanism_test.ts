import { expect } from "earl";
import { describe, it } from "node:test";
import { MECHANISMS, parseMechanisms } from "../src/mod.ts";

describe("parseMechanisms", () => {
  it("parses a list of names", () => {
    expect(parseMechanisms("urgency,shared_loads")).toEqual(
      new Set(["urgency", "shared_loads"]),
    );
  });

  it("parses an empty text and each known name", () => {
    expect(parseMechanisms("").size).toEqual(0);
    expect(parseMechanisms(MECHANISMS.join(",")).size).toEqual(
      MECHANISMS.length,
    );
  });

  it("names an unknown mechanism", () => {
    expect(() => parseMechanisms("urgency,speed")).toThrow(
      RangeError,
      'unknown mechanism "speed"',
    );
  });
});
