import { createNoopLoggers, type Logger } from "@toucantrestle/log";
import { createManualTimer } from "@toucantrestle/timer";
import { expect } from "earl";
import { describe, it } from "node:test";
import { setImmediate as nextTurn } from "node:timers/promises";
import {
  awaitDependency,
  type Dependency,
  ExitError,
  StoppedWaitingError,
} from "../src/mod.ts";

const TIMEOUT_MS = 10_000;
const RETRY_MS = 100;

/** Awaits a dependency that fails until the clock shows `availableAt`. */
function startWait(
  opts:
    & { availableAt?: number; isStopping?: () => boolean }
    & Partial<
      Dependency<string>
    > = {},
) {
  const { availableAt = Infinity, isStopping, ...overrides } = opts;
  const timer = createManualTimer();
  const lines: string[] = [];
  const write = (message: string) => {
    lines.push(message);
  };
  const log: Logger = {
    ...createNoopLoggers()("test"),
    warn: write,
    info: write,
  };
  const result = awaitDependency({
    name: "the disk",
    attempt: () => {
      if (timer.now() < availableAt) throw new Error("not there");
      return "ready";
    },
    timeoutMs: TIMEOUT_MS,
    retryMs: RETRY_MS,
    reason: "disk_unavailable",
    ...overrides,
  }, { timer, log, isStopping });
  result.catch(() => {});
  return { timer, lines, result };
}

async function advance(
  timer: ReturnType<typeof createManualTimer>,
  ms: number,
): Promise<void> {
  for (let passed = 0; passed < ms; passed += RETRY_MS) {
    await nextTurn();
    timer.advance(RETRY_MS);
  }
  await nextTurn();
}

describe("a dependency that becomes available", () => {
  it("is returned, with a line at the begin and the end of the wait", async () => {
    const { timer, lines, result } = startWait({ availableAt: 700 });
    await advance(timer, 1_000);
    expect(await result).toEqual("ready");
    expect(lines).toEqual([
      "waiting for the disk: not there",
      "the disk is available after 700 ms",
    ]);
  });

  it("is returned without a line if there was no wait", async () => {
    const { lines, result } = startWait({ availableAt: 0 });
    expect(await result).toEqual("ready");
    expect(lines).toEqual([]);
  });
});

describe("a dependency that stays unavailable", () => {
  it("is given up after its time with the reason to end", async () => {
    const { timer, lines, result } = startWait();
    await advance(timer, TIMEOUT_MS + RETRY_MS);
    const err = await result.catch((err) => err);
    expect(err instanceof ExitError && err.reason).toEqual("disk_unavailable");
    expect(err.message).toEqual(
      "the disk is unavailable after 10000 ms: not there",
    );
    expect(lines.length).toEqual(2);
  });

  // Guards against a process that hangs at its start without a line, for good.
  it("is given up after its time if an attempt hangs", async () => {
    let attempts = 0;
    const { timer, lines, result } = startWait({
      attempt: () => {
        attempts += 1;
        return new Promise<string>(() => {});
      },
    });
    await advance(timer, TIMEOUT_MS + RETRY_MS);
    const err = await result.catch((err) => err);
    expect(err instanceof ExitError && err.reason).toEqual("disk_unavailable");
    expect(lines[0]).toEqual("waiting for the disk: it does not respond");
    expect(attempts).toEqual(1);
  });

  it("is given up at once if no wait can help", async () => {
    const { result } = startWait({ isTemporary: () => false });
    const err = await result.catch((err) => err);
    expect(err.message).toEqual("the disk is unavailable: not there");
  });

  // Guards against a process that goes on waiting although it was stopped.
  it("is no longer awaited once the process stops", async () => {
    let isStopping = false;
    const { timer, result } = startWait({ isStopping: () => isStopping });
    await advance(timer, 300);
    isStopping = true;
    await advance(timer, RETRY_MS);
    const err = await result.catch((err) => err);
    expect(err instanceof StoppedWaitingError).toEqual(true);
  });
});
