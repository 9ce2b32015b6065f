import { expect } from "earl";
import { describe, it } from "node:test";
import { measureMemory, processMemory } from "../src/mod.ts";
import { FakeProcess } from "./memory_fixtures.ts";

const SECOND_MS = 1_000;

describe("MemoryWatch", () => {
  // Guards against the end of a process by one peer that brings too much.
  it("cuts the heaviest holder, and nobody else, when the heap is full", () => {
    const process = new FakeProcess();
    process.hold("small", 5);
    process.hold("heavy", 40);
    process.hold("middle", 20);
    process.timer.advance(SECOND_MS);
    expect(process.cut).toEqual(["heavy"]);
    expect(process.watch.isFull).toEqual(false);
  });

  it("cuts again until the heap is no longer full", () => {
    const process = new FakeProcess();
    for (let i = 0; i < 10; i++) process.hold(`peer-${i}`, 10);
    process.timer.advance(SECOND_MS);
    expect(process.cut.length).toEqual(5);
    process.inUse += 20;
    process.timer.advance(SECOND_MS);
    expect(process.cut.length).toEqual(7);
  });

  it("logs what it cuts, with the kept bytes and the limits", () => {
    const process = new FakeProcess();
    process.hold("heavy", 70, { purpose: "request_bodies" });
    process.timer.advance(SECOND_MS);
    const { purpose, keptBytes, heapLimitBytes, memoryBytes } =
      process.lines.find((it) => it.event === "memory_cut") ?? {};
    expect([purpose, keptBytes, heapLimitBytes, memoryBytes]).toEqual([
      "request_bodies",
      70_000_000,
      100_000_000,
      200_000_000,
    ]);
  });

  // Guards against cuts in a healthy process that has not collected garbage.
  it("cuts and refuses nothing because of garbage", () => {
    const process = new FakeProcess();
    process.hold("peer", 10);
    for (let i = 0; i < 100; i++) {
      process.garbage = 65;
      process.timer.advance(200);
      expect(process.watch.isFull).toEqual(false);
    }
    expect(process.cut).toEqual([]);
  });

  // Guards against a process that only collects garbage.
  it("collects garbage no more than once a second while that frees little", () => {
    const process = new FakeProcess();
    process.inUse = 85;
    process.timer.advance(10 * SECOND_MS);
    expect(process.watch.isFull).toEqual(true);
    expect(process.collections <= 11).toEqual(true);
  });

  it("cuts nobody who keeps little or cannot be cut", () => {
    const process = new FakeProcess();
    process.inUse = 85;
    process.hold("small", 0.1);
    process.hold("fixed", 5, { cut: undefined });
    process.timer.advance(SECOND_MS);
    expect(process.cut).toEqual([]);
    expect(process.watch.isFull).toEqual(true);
  });

  it("cuts what cannot be had once more after everything else", () => {
    const process = new FakeProcess();
    process.hold("only", 50, { isIrreplaceable: true });
    process.hold("other", 20);
    process.timer.advance(SECOND_MS);
    expect(process.cut).toEqual(["other"]);
    process.inUse += 20;
    process.timer.advance(SECOND_MS);
    expect(process.cut).toEqual(["other", "only"]);
  });

  // Guards against a holder that stays listed and hides the next one.
  it("cuts a holder once", () => {
    const process = new FakeProcess();
    process.hold("stays", 50, { isKept: true });
    process.hold("next", 20);
    process.timer.advance(SECOND_MS);
    expect(process.cut).toEqual(["stays", "next"]);
  });

  it("goes on after an error of a cut", () => {
    const process = new FakeProcess();
    process.hold("broken", 50, {
      cut() {
        throw new Error("no such socket");
      },
    });
    process.hold("next", 20);
    process.timer.advance(SECOND_MS);
    expect(process.cut).toEqual(["next"]);
  });

  it("cuts when heap and buffers fill the process", () => {
    const process = new FakeProcess();
    process.hold("heavy", 10);
    process.external = 100;
    process.timer.advance(SECOND_MS);
    expect(process.cut).toEqual(["heavy"]);
  });

  // Guards against cutting one peer after the other: memory that was resident
  // once often stays so.
  it("cuts for resident memory only while that grows", () => {
    const process = new FakeProcess();
    for (let i = 0; i < 5; i++) process.hold(`peer-${i}`, 1 + i);
    process.inUse = 60;
    process.external = 20;
    process.resident = 150;
    process.timer.advance(10 * SECOND_MS);
    expect(process.cut).toEqual(["peer-4"]);
    process.resident = 153;
    process.timer.advance(10 * SECOND_MS);
    expect(process.cut).toEqual(["peer-4", "peer-3"]);
    expect(process.watch.isFull).toEqual(true);
    process.inUse = 20;
    process.timer.advance(SECOND_MS);
    expect(process.watch.isFull).toEqual(false);
  });

  // Guards against a cut of others right after the peer that filled the process.
  it("cuts nobody for resident memory that is not in use", () => {
    const process = new FakeProcess();
    process.hold("peer", 5);
    process.resident = 150;
    process.timer.advance(10 * SECOND_MS);
    expect([process.cut, process.collections]).toEqual([[], 0]);
  });

  // Guards against stalls of a process whose resident memory was high once.
  it("collects garbage once a second while resident memory only stays", () => {
    const process = new FakeProcess();
    process.inUse = 70;
    process.resident = 150;
    for (let i = 0; i < 50; i++) {
      process.garbage = 8;
      process.timer.advance(200);
    }
    expect([process.cut, process.collections <= 11]).toEqual([[], true]);
  });

  // Guards against read buffers that are garbage and grow the process while its
  // heap is small.
  it("collects buffers while resident memory is high, and cuts nobody", () => {
    const process = new FakeProcess();
    process.external = 37;
    process.resident = 160;
    process.hold("large", 5);
    process.timer.advance(SECOND_MS);
    expect(process.collections >= 1).toEqual(true);
    expect([process.cut, process.watch.isFull]).toEqual([[], false]);
  });

  it("is full until the heap has shrunk", () => {
    const process = new FakeProcess();
    process.inUse = 85;
    process.timer.advance(SECOND_MS);
    expect(process.watch.isFull).toEqual(true);
    process.inUse = 60;
    process.timer.advance(SECOND_MS);
    expect(process.watch.isFull).toEqual(false);
  });

  it("reads the resident memory once a second while little is in use", () => {
    const process = new FakeProcess();
    process.timer.advance(10 * SECOND_MS);
    expect(process.residentReads <= 10).toEqual(true);
  });
});

describe("processMemory", () => {
  it("returns figures that fit each other", () => {
    const { heapBytes, heapLimitBytes, residentBytes } = measureMemory();
    expect(heapBytes > 0 && heapBytes < heapLimitBytes).toEqual(true);
    expect(residentBytes > heapBytes / 2).toEqual(true);
  });

  it("collects garbage", () => {
    let garbage: unknown[] | undefined = Array.from(
      { length: 1_000_000 },
      (_, i) => ({ i }),
    );
    const before = processMemory.heap().heapBytes;
    expect(garbage.length).toEqual(1_000_000);
    garbage = undefined;
    processMemory.collectGarbage();
    expect(processMemory.heap().heapBytes < before / 2).toEqual(true);
  });
});
