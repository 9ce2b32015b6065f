import { expect } from "earl";
import { describe, it } from "node:test";
import { createNoopLoggers, Listeners } from "../src/mod.ts";

function createListeners() {
  const lines: string[] = [];
  const log = {
    ...createNoopLoggers()("test"),
    error: (message: string) => void lines.push(message),
  };
  return { listeners: new Listeners<[number]>("changes", log), lines };
}

describe("Listeners", () => {
  // Guards against an event that is lost by the error of another part (FAULT).
  it("are all called, and an error of one is logged", () => {
    const { listeners, lines } = createListeners();
    const seen: number[] = [];
    listeners.add((it) => seen.push(it));
    listeners.add(() => {
      throw new Error("odd");
    });
    listeners.add((it) => seen.push(10 * it));
    listeners.notify(1);
    listeners.notify(2);
    expect(seen).toEqual([1, 10, 2, 20]);
    expect(lines.length).toEqual(2);
    const isNamed = lines[0]?.startsWith(
      "a listener to changes failed: Error: odd",
    );
    expect(isNamed).toEqual(true);
  });

  it("are not called after they are removed", () => {
    const { listeners } = createListeners();
    const seen: number[] = [];
    const remove = listeners.add((it) => seen.push(it));
    remove();
    listeners.notify(1);
    expect([seen.length, listeners.size]).toEqual([0, 0]);
  });
});
