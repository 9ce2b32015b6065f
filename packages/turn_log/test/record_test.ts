import { expect } from "earl";
import fc from "fast-check";
import { describe, it } from "node:test";
import { scopedId } from "../src/mod.ts";

/** Text without control characters, as in header values and names. */
const text = fc.string({ minLength: 1 })
  .filter((it) => !/[\p{Cc}\p{Cs}]/u.test(it));

describe("scopedId", () => {
  it("keeps an id without an owner, as earlier builds write it", () => {
    fc.assert(fc.property(text, (id) => {
      expect(scopedId(undefined, id)).toEqual(id);
    }));
  });

  // Guards against ids that are chosen to equal those of another owner.
  it("differs for each pair of owner and id", () => {
    const owner = fc.option(text, { nil: undefined });
    const pairs = fc.tuple(owner, text, owner, text);
    fc.assert(fc.property(pairs, ([owner1, id1, owner2, id2]) => {
      const isSame = owner1 === owner2 && id1 === id2;
      expect(scopedId(owner1, id1) === scopedId(owner2, id2)).toEqual(isSame);
    }));
    expect(scopedId("a", "b/c") === scopedId("a/b", "c")).toEqual(false);
  });
});
