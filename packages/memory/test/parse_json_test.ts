import { expect } from "earl";
import fc from "fast-check";
import { describe, it } from "node:test";
import { parseJsonText } from "../src/mod.ts";

const MANY = 500_000;

describe("parseJsonText", () => {
  it("parses what the runtime parses", () => {
    fc.assert(fc.property(fc.json(), (text) => {
      const padded = text + " ".repeat(MANY);
      expect(parseJsonText(padded)).toEqual(JSON.parse(text));
    }));
  });

  // Guards against text that takes many times its size once it is parsed.
  for (const unit of ["[],", "0,", "{},", '"",']) {
    it(`rejects too many values: ${unit}`, () => {
      const text = `[${unit.repeat(MANY)}0]`;
      expect(() => parseJsonText(text)).toThrow("200000 values");
    });
  }

  it("rejects lists that are nested too often", () => {
    const text = "[".repeat(MANY) + "]".repeat(MANY);
    expect(() => parseJsonText(text)).toThrow("200000 values");
  });

  for (const unit of ["[{,", '\\"', "\\\\", '\\\\\\",']) {
    it(`counts no characters of a string: ${unit}`, () => {
      const text = `["${unit.repeat(MANY)}"]`;
      expect(parseJsonText(text)).toEqual(JSON.parse(text));
    });
  }
});
