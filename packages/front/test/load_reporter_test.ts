import { createManualTimer } from "@toucantrestle/timer";
import { expect } from "earl";
import { describe, it } from "node:test";
import { LoadReporter } from "../src/load_reporter.ts";

describe("load reporter", () => {
  it("reports a change within 50 ms of the previous report", () => {
    const { timer, reporter, reports } = createReporter(5);
    reporter.schedule();
    timer.advance(0);
    reporter.schedule();
    timer.advance(49);
    expect(reports.length).toEqual(1);
    timer.advance(1);
    expect(reports.length).toEqual(2);
  });

  it("burst: changes every 2 ms reach five siblings 20 times a second", () => {
    const { timer, reporter, reports } = createReporter(5);
    for (let ms = 0; ms < 1_000; ms += 2) {
      reporter.schedule();
      timer.advance(2);
    }
    expect(reports.length).toBeGreaterThanOrEqual(19);
    expect(reports.length).toBeLessThanOrEqual(21);
  });

  it("burst: sends no more messages in total to 53 siblings", () => {
    const { timer, reporter, reports } = createReporter(53);
    for (let ms = 0; ms < 2_000; ms += 2) {
      reporter.schedule();
      timer.advance(2);
    }
    expect((reports.length * 53) / 2).toBeLessThanOrEqual(160);
  });

  it("repeats an unchanged load, so that it does not expire at siblings", () => {
    const { timer, reports } = createReporter(5);
    timer.advance(3_000);
    expect(reports.length).toBeGreaterThanOrEqual(4);
  });
});

function createReporter(siblingCount: number) {
  const timer = createManualTimer();
  const reports: number[] = [];
  const reporter = new LoadReporter({
    timer,
    siblingCount: () => siblingCount,
    report: () => reports.push(timer.monotonicNow()),
  });
  return { timer, reporter, reports };
}
