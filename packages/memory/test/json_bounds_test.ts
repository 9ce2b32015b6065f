import { expect } from "earl";
import fc from "fast-check";
import { describe, it } from "node:test";
import { fitsJsonBounds, type JsonBounds } from "../src/mod.ts";

const WIDE: JsonBounds = {
  maxDepth: 1_000,
  maxContainers: 1_000_000,
  maxSeparators: 1_000_000,
};

/** What the bounds count, taken from the parsed value. */
interface Shape {
  depth: number;
  containers: number;
  separators: number;
}

function shapeOf(value: unknown): Shape {
  if (typeof value !== "object" || value === null) {
    return { depth: 0, containers: 0, separators: 0 };
  }
  const parts = Object.values(value).map(shapeOf);
  const sum = (name: keyof Shape) =>
    parts.reduce((total, it) => total + it[name], 0);
  const commas = Math.max(0, parts.length - 1);
  const colons = Array.isArray(value) ? 0 : parts.length;
  return {
    depth: 1 + Math.max(0, ...parts.map((it) => it.depth)),
    containers: 1 + sum("containers"),
    separators: commas + colons + sum("separators"),
  };
}

function fits(text: string, bounds: Partial<JsonBounds>): boolean {
  return fitsJsonBounds(text, { ...WIDE, ...bounds });
}

describe("fitsJsonBounds", () => {
  it("counts what the parsed value has, whatever its strings hold", () => {
    fc.assert(
      fc.property(fc.json({ maxDepth: 5, stringUnit: "binary" }), (text) => {
        const { depth, containers, separators } = shapeOf(JSON.parse(text));
        const exact = {
          maxDepth: depth,
          maxContainers: containers,
          maxSeparators: separators,
        };
        expect(fits(text, exact)).toEqual(true);
        expect(fits(text, { maxDepth: depth - 1 })).toEqual(depth === 0);
        expect(fits(text, { maxContainers: containers - 1 }))
          .toEqual(containers === 0);
        expect(fits(text, { maxSeparators: separators - 1 }))
          .toEqual(separators === 0);
      }),
    );
  });

  for (const inner of ['\\"', "\\\\", '\\\\\\"[', "x".repeat(40)]) {
    for (const length of [0, 23, 24, 100]) {
      it(`finds the end of ${length} characters and ${inner}`, () => {
        const text = `["${"a".repeat(length)}${inner}",[]]`;
        expect(fits(text, { maxDepth: 2, maxContainers: 2 })).toEqual(true);
        expect(fits(text, { maxContainers: 1 })).toEqual(false);
      });
    }
  }

  it("ends at a string that does not end", () => {
    expect(fits('["', { maxDepth: 1 })).toEqual(true);
    expect(fits(`["${"a".repeat(100)}\\`, { maxDepth: 1 })).toEqual(true);
  });

  // Guards against a text of some MB that takes hundreds of MB once parsed.
  it("refuses nested lists and many values", () => {
    const nested = "[".repeat(4_000_000) + "]".repeat(4_000_000);
    expect(fits(nested, {})).toEqual(false);
    expect(fits(`[${"0,".repeat(4_000_000)}0]`, {})).toEqual(false);
    expect(fits(`[${"[],".repeat(2_000_000)}0]`, {})).toEqual(false);
  });
});
