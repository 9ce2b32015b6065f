import { expect } from "earl";
import fc from "fast-check";
import { describe, it } from "node:test";
import {
  type CrashReport,
  CrashTracker,
  type SuccessReport,
} from "../src/mod.ts";

/** A crash counts for this long. */
const RETENTION_MS = 120_000;
/** Crashes that siblings are told of at once. */
const MAX_REPORTS = 256;
const NOW = 1_000_000;
const UPSTREAMS = ["u1", "u2", "u3", "u4"];

function createReport(upstream: string, ageMs = 0): CrashReport {
  return { fingerprint: "f", upstream, ageMs };
}

function createTracker(reports: CrashReport[], now = NOW): CrashTracker {
  const tracker = new CrashTracker();
  for (const report of reports) tracker.recordCrash(report, now);
  return tracker;
}

/** Crashes of some requests, reported several times and with other ages. */
function arbitraryReports(): fc.Arbitrary<CrashReport[]> {
  return fc.array(
    fc.record({
      fingerprint: fc.constantFrom("f", "g"),
      upstream: fc.constantFrom(...UPSTREAMS),
      ageMs: fc.integer({ min: 0, max: RETENTION_MS + 20_000 }),
    }),
    { maxLength: 12 },
  );
}

function shuffled<T>(values: T[], order: number[]): T[] {
  return values.map((value, i) => ({ value, at: order[i] ?? 0 }))
    .sort((a, b) => a.at - b.at)
    .map((it) => it.value);
}

function arbitraryOrder(): fc.Arbitrary<number[]> {
  return fc.array(fc.integer(), { minLength: 24, maxLength: 24 });
}

/** What a tracker knows, in an order of its own. */
function knowledgeOf(tracker: CrashTracker, now: number) {
  return {
    isQuarantined: ["f", "g"].map((it) => tracker.isQuarantined(it, now)),
    reports: tracker.reports(now).map((it) => JSON.stringify(it)).sort(),
  };
}

describe("requests that crash upstreams", () => {
  it("are quarantined after the third crash", () => {
    const tracker = createTracker([createReport("u1"), createReport("u2")]);
    expect(tracker.isQuarantined("f", NOW)).toEqual(false);
    tracker.recordCrash(createReport("u3"), NOW);
    expect(tracker.isQuarantined("f", NOW)).toEqual(true);
  });

  it("expire even when siblings keep reporting the same crash", () => {
    const tracker = createTracker(UPSTREAMS.map((it) => createReport(it)));
    for (const upstream of UPSTREAMS) {
      const report = createReport(upstream);
      expect(tracker.recordCrash(report, NOW + 5_000)).toEqual(false);
    }
    expect(tracker.isQuarantined("f", NOW + RETENTION_MS)).toEqual(true);
    expect(tracker.isQuarantined("f", NOW + RETENTION_MS + 1)).toEqual(false);
    expect(tracker.reports(NOW + RETENTION_MS + 1)).toEqual([]);
  });

  it("are tracked for as long as they crash one upstream after the other", () => {
    const tracker = new CrashTracker();
    UPSTREAMS.forEach((it, i) =>
      tracker.recordCrash(createReport(it), NOW + i * 100_000)
    );
    expect(tracker.isQuarantined("f", NOW + 400_000)).toEqual(true);
  });

  it("begin anew with a crash after their record has expired", () => {
    const tracker = createTracker(UPSTREAMS.map((it) => createReport(it)));
    const later = NOW + RETENTION_MS + 1;
    tracker.recordCrash(createReport("u9"), later);
    expect(tracker.isQuarantined("f", later)).toEqual(false);
  });

  it("are forgotten after their record has expired", () => {
    const tracker = createTracker([createReport("u1")]);
    tracker.sweep(NOW + 2 * RETENTION_MS);
    expect(tracker.isEmpty).toEqual(true);
  });
});

// Guards against fronts that forget a conviction, or renew it at each hand-over.
describe("crashes that one tracker reports to another", () => {
  it("are the same whatever the order and the repetitions", () => {
    fc.assert(
      fc.property(arbitraryReports(), arbitraryOrder(), (reports, order) => {
        const twice = shuffled([...reports, ...reports], order);
        const [a, b] = [createTracker(reports), createTracker(twice)];
        for (const later of [0, 60_000, RETENTION_MS, RETENTION_MS + 1]) {
          expect(knowledgeOf(b, NOW + later))
            .toEqual(knowledgeOf(a, NOW + later));
        }
      }),
    );
  });

  it("quarantine a request there until the same moment", () => {
    const delays = fc.array(fc.integer({ min: 0, max: 50_000 }), {
      minLength: 1,
      maxLength: 6,
    });
    fc.assert(fc.property(arbitraryReports(), delays, (reports, delaysMs) => {
      const first = createTracker(reports);
      let last = first;
      let now = NOW;
      for (const delayMs of delaysMs) {
        now += delayMs;
        last = createTracker(last.reports(now), now);
      }
      for (const later of [0, 1_000, 60_000, RETENTION_MS]) {
        for (const fingerprint of ["f", "g"]) {
          expect(last.isQuarantined(fingerprint, now + later))
            .toEqual(first.isQuarantined(fingerprint, now + later));
        }
      }
    }));
  });

  it("are news once, so that no report goes round for ever", () => {
    fc.assert(fc.property(arbitraryReports(), (reports) => {
      const tracker = createTracker(reports);
      for (const report of reports) {
        expect(tracker.recordCrash(report, NOW + 1_000)).toEqual(false);
      }
    }));
  });

  it("are no news when a record has just expired", () => {
    const report = createReport("u1", RETENTION_MS - 10);
    const tracker = createTracker([report]);
    tracker.sweep(NOW + 1_000);
    expect(tracker.recordCrash(report, NOW + 1_000)).toEqual(false);
  });
});

// Guards against the refusal of a request that other upstreams run.
describe("a success of a request that has crashed upstreams", () => {
  const crashes = UPSTREAMS.map((it) => createReport(it, 1_000));
  const success: SuccessReport = { fingerprint: "f", ageMs: 500 };

  it("makes its earlier crashes count no more", () => {
    const tracker = createTracker(crashes);
    expect(tracker.recordSuccess(success, NOW)).toEqual(true);
    expect(tracker.isQuarantined("f", NOW)).toEqual(false);
    expect(tracker.recordSuccess(success, NOW + 100)).toEqual(false);
  });

  it("leaves its later crashes", () => {
    const later = UPSTREAMS.map((it) => createReport(it, 400));
    const tracker = createTracker(later);
    tracker.recordSuccess(success, NOW);
    expect(tracker.isQuarantined("f", NOW)).toEqual(true);
  });

  it("counts too if it is heard of first", () => {
    const tracker = new CrashTracker();
    expect(tracker.recordSuccess(success, NOW)).toEqual(true);
    for (const report of crashes) tracker.recordCrash(report, NOW);
    expect(tracker.isQuarantined("f", NOW)).toEqual(false);
  });

  it("is known as long as the crashes that it disproves", () => {
    const tracker = createTracker(crashes);
    tracker.recordSuccess(success, NOW);
    const later = NOW + 100_000;
    tracker.sweep(later);
    const told = new CrashTracker();
    for (const report of tracker.successes(later)) {
      told.recordSuccess(report, later);
    }
    for (const report of crashes) {
      const ageMs = report.ageMs + 100_000;
      told.recordCrash({ ...report, ageMs }, later);
    }
    expect(told.isQuarantined("f", later)).toEqual(false);
  });

  it("has the same effect whatever the order of the reports", () => {
    const arbitrarySuccesses = fc.array(
      fc.record({
        fingerprint: fc.constantFrom("f", "g"),
        ageMs: fc.integer({ min: 0, max: RETENTION_MS + 20_000 }),
      }),
      { maxLength: 4 },
    );
    fc.assert(
      fc.property(
        arbitraryReports(),
        arbitrarySuccesses,
        arbitraryOrder(),
        (reports, successes, order) => {
          const steps = [
            ...reports.map((it) => (to: CrashTracker) => {
              to.recordCrash(it, NOW);
            }),
            ...successes.map((it) => (to: CrashTracker) => {
              to.recordSuccess(it, NOW);
            }),
          ];
          const [a, b] = [new CrashTracker(), new CrashTracker()];
          for (const step of steps) step(a);
          for (const step of shuffled([...steps, ...steps], order)) step(b);
          for (const later of [0, 60_000, RETENTION_MS]) {
            expect(knowledgeOf(b, NOW + later))
              .toEqual(knowledgeOf(a, NOW + later));
          }
        },
      ),
    );
  });
});

describe("a tracker of very many crashes", () => {
  const singles = Array.from({ length: 20_000 }, (_, i) => ({
    fingerprint: `single-${i}`,
    upstream: `u${i}`,
    ageMs: 0,
  }));

  it("keeps the quarantined requests, and reports them first", () => {
    const convicted = UPSTREAMS.map((it) => createReport(it, 1_000));
    const tracker = createTracker([...convicted, ...singles]);
    expect(tracker.isQuarantined("f", NOW)).toEqual(true);
    const reports = tracker.reports(NOW);
    expect(reports.length).toEqual(MAX_REPORTS);
    expect(reports.slice(0, 3).every((it) => it.fingerprint === "f"))
      .toEqual(true);
    expect(createTracker(reports).isQuarantined("f", NOW)).toEqual(true);
  });

  it("has a bounded number of them", () => {
    const tracker = createTracker(singles);
    const known = singles.filter((it) => !tracker.recordCrash(it, NOW));
    expect(known.length).toBeLessThanOrEqual(4_096);
  });
});
