import { expect } from "earl";
import fc from "fast-check";
import { describe, it } from "node:test";
import {
  InvalidOrganisationsError,
  type OrganisationEntry,
  OrganisationIndex,
  shortKeyDigest,
} from "../src/mod.ts";

describe("OrganisationIndex", () => {
  it("finds an organisation by each of its keys and by its name", () => {
    const index = new OrganisationIndex([
      { name: "a", keys: ["k1", "k2"], rank: 0, ratePerS: 5, burst: 2 },
      { name: "b", keys: ["k3"] },
    ]);
    const a = { name: "a", rank: 0, quota: { ratePerS: 5, burst: 2 } };
    expect(index.findByKey("k1")).toEqual(a);
    expect(index.findByKey("k2")).toEqual(a);
    expect(index.findByName("a")).toEqual(a);
    expect(index.findByKey("k3")?.name).toEqual("b");
    expect(index.size).toEqual(2);
    expect([...index.all()].map((it) => it.name)).toEqual(["a", "b"]);
  });

  // Guards against keys that match by prefix, case or object property.
  it("finds nothing by any other text", () => {
    const index = new OrganisationIndex([{ name: "a", keys: ["key-1"] }]);
    fc.assert(fc.property(fc.string(), (key) => {
      fc.pre(key !== "key-1");
      expect(index.findByKey(key)).toEqual(undefined);
    }));
    for (const key of ["", "key-", "KEY-1", "key-1 ", "__proto__", "a"]) {
      expect(index.findByKey(key)).toEqual(undefined);
    }
  });

  it("has no quota if the rate is missing or 0", () => {
    const quotaOf = (entry: Partial<OrganisationEntry>) =>
      new OrganisationIndex([{ name: "a", keys: ["k"], ...entry }])
        .findByName("a")?.quota;
    expect(quotaOf({})).toEqual(undefined);
    expect(quotaOf({ ratePerS: 0, burst: 9 })).toEqual(undefined);
    expect(quotaOf({ ratePerS: 0.5 })).toEqual({ ratePerS: 0.5, burst: 0 });
  });

  it("accepts a key that one organisation lists twice", () => {
    const index = new OrganisationIndex([{ name: "a", keys: ["k", "k"] }]);
    expect(index.findByKey("k")?.name).toEqual("a");
  });

  // Guards against requests that run on behalf of the wrong organisation.
  it("rejects contradictory entries without naming a key", () => {
    const valid = { name: "a", keys: ["secret-key"] };
    const bad: [OrganisationEntry, RegExp][] = [
      [{ name: "a", keys: ["k2"] }, /"a" occurs twice/],
      [{ name: "b", keys: ["secret-key"] }, /"a" and "b" have a key in common/],
      [{ name: "", keys: ["k2"] }, /empty name/],
      [{ name: " ", keys: ["k2"] }, /empty name/],
      [{ name: "b\r\nx: y", keys: ["k2"] }, /unprintable character/],
      [{ name: "b\u0000", keys: ["k2"] }, /unprintable character/],
      [{ name: "b\ud800", keys: ["k2"] }, /unprintable character/],
      [{ name: "b".repeat(1_025), keys: ["k2"] }, /longer than 1024 bytes/],
      [{ name: "b", keys: [""] }, /"b" has an empty key/],
      [{ name: "b", keys: [], ratePerS: -1 }, /"b" has an invalid ratePerS/],
      [{ name: "b", keys: [], burst: NaN }, /"b" has an invalid burst/],
      [{ name: "b", keys: [], ratePerS: Infinity }, /invalid ratePerS/],
    ];
    for (const [entry, message] of bad) {
      const err = errorOf(() => new OrganisationIndex([valid, entry]));
      expect(err).toBeA(InvalidOrganisationsError);
      expect(err?.message).toEqual(expect.regex(message));
      expect(err?.message.includes("secret-key")).toEqual(false);
    }
  });

  it("finds each of 10,000 organisations by each of 3 keys", () => {
    const numbers = Array.from({ length: 10_000 }, (_, i) => i);
    const index = new OrganisationIndex(numbers.map((i) => ({
      name: `org-${i}`,
      keys: [`k-${i}-0`, `k-${i}-1`, `k-${i}-2`],
    })));
    expect(index.size).toEqual(10_000);
    for (const i of numbers) {
      expect(index.findByKey(`k-${i}-${i % 3}`)?.name).toEqual(`org-${i}`);
    }
  });
});

describe("shortKeyDigest", () => {
  it("is short, equal for equal keys, and does not contain the key", () => {
    expect(shortKeyDigest("abc")).toEqual("ba7816bf");
  });
});

function errorOf(fn: () => unknown): Error | undefined {
  try {
    fn();
    return undefined;
  } catch (err) {
    return err as Error;
  }
}
