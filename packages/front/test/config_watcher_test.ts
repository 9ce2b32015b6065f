import { createNoopLoggers } from "@toucantrestle/log";
import { expect } from "earl";
import fc from "fast-check";
import { describe, it } from "node:test";
import { ConfigWatcher } from "../src/config_watcher.ts";
import { testProtocol } from "./test_protocol.ts";

describe("ConfigWatcher", () => {
  it("never applies an older version, whatever the source and order", () => {
    const source = fc.constantFrom("store", "front-1", "front-2");
    const updateLists = fc.array(fc.record({ version: fc.nat(20), source }));
    fc.assert(fc.property(updateLists, (updates) => {
      const { watcher, appliedVersions } = createWatcher();
      let newest = -1;
      for (const { version, source } of updates) {
        watcher.apply(createText(version), source);
        newest = Math.max(newest, version);
        expect(watcher.config?.version).toEqual(newest);
      }
      expect(appliedVersions).toEqual(
        appliedVersions.toSorted((a, b) => a - b),
      );
      expect(new Set(appliedVersions).size).toEqual(appliedVersions.length);
    }));
  });

  it("keeps the configuration when the store holds an invalid one", () => {
    const { watcher } = createWatcher();
    watcher.apply(createText(3), "store");
    for (const text of ["", "{", "[]", '{"version":"9"}', "null"]) {
      watcher.apply(text, "store");
      expect(watcher.config?.version).toEqual(3);
      expect(watcher.text).toEqual(createText(3));
    }
  });
});

function createWatcher() {
  const appliedVersions: number[] = [];
  const watcher = new ConfigWatcher({
    protocol: { ...testProtocol, parseConfig },
    log: createNoopLoggers()("config"),
  });
  watcher.onConfig((config) => appliedVersions.push(config.version));
  return { watcher, appliedVersions };
}

function createText(version: number): string {
  return JSON.stringify({ version, routes: [], services: [] });
}

/** Parses like an adapter; returns undefined if the text is invalid. */
function parseConfig(text: string) {
  try {
    const config = testProtocol.parseConfig(text);
    return typeof config?.version === "number" ? config : undefined;
  } catch {
    return undefined;
  }
}
