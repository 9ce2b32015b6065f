import { expect } from "earl";
import { describe, it } from "node:test";
import { toGossipMessage } from "../src/siblings/read_gossip.ts";

const STATE = {
  state: "ready",
  reachesTurnStores: true,
  reachesUpstreams: true,
  reachesStore: true,
};

function createReport(opts: Record<string, unknown> = {}) {
  return { host: "a", version: 1, neighbours: ["b"], state: STATE, ...opts };
}

describe("gossip of a sibling", () => {
  it("is read", () => {
    const message = { reports: [createReport()], news: [{ kind: "config" }] };
    expect(toGossipMessage(message)).toEqual(message as never);
  });

  const malformed: [what: string, body: unknown][] = [
    ["text", "x"],
    ["nothing", undefined],
    ["a body without news", { reports: [] }],
    ["a report without a host", {
      reports: [createReport({ host: 7 })],
      news: [],
    }],
    ["a version that is no whole number", {
      reports: [createReport({ version: 0.5 })],
      news: [],
    }],
    ["an unknown state", {
      reports: [createReport({ state: { ...STATE, state: "x" } })],
      news: [],
    }],
    ["too many neighbours", {
      reports: [createReport({ neighbours: Array(257).fill("b") })],
      news: [],
    }],
    ["news without a kind", { reports: [], news: [{}] }],
  ];
  for (const [what, body] of malformed) {
    it(`is ignored if it is ${what}`, () => {
      expect(toGossipMessage(body)).toEqual(undefined);
    });
  }
});
