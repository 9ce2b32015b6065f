import { createSilentLoggers } from "@toucantrestle/log";
import { expect } from "earl";
import fc from "fast-check";
import { describe, it } from "node:test";
import { ConfigWatch } from "../src/config_watch.ts";
import { testProtocol } from "./test_protocol.ts";

describe("the configuration in force", () => {
  it("never goes back, whoever hands out what in which order", () => {
    const source = fc.constantFrom("store", "front-1", "front-2");
    const news = fc.array(fc.record({ version: fc.nat(20), source }));
    fc.assert(fc.property(news, (arrivals) => {
      const { watch, inForce } = createWatch();
      let newest = -1;
      for (const { version, source } of arrivals) {
        watch.take(createText(version), source);
        newest = Math.max(newest, version);
        expect(watch.config?.version).toEqual(newest);
      }
      expect(inForce).toEqual(inForce.toSorted((a, b) => a - b));
      expect(new Set(inForce).size).toEqual(inForce.length);
    }));
  });

  it("stays when another writer left something unreadable", () => {
    const { watch } = createWatch();
    watch.take(createText(3), "store");
    for (const text of ["", "{", "[]", '{"version":"9"}', "null"]) {
      watch.take(text, "store");
      expect(watch.config?.version).toEqual(3);
      expect(watch.text).toEqual(createText(3));
    }
  });
});

function createWatch() {
  const inForce: number[] = [];
  const watch = new ConfigWatch({
    protocol: { ...testProtocol, readConfig },
    log: createSilentLoggers()("config"),
  });
  watch.onConfig((config) => inForce.push(config.version));
  return { watch, inForce };
}

function createText(version: number): string {
  return JSON.stringify({ version, routes: [], services: [] });
}

/** As an adapter reads it: undefined for what is no configuration. */
function readConfig(text: string) {
  try {
    const config = testProtocol.readConfig(text);
    return typeof config?.version === "number" ? config : undefined;
  } catch {
    return undefined;
  }
}
