import { createNoopLoggers } from "@toucantrestle/log";
import { createSystemTimer, type Timer } from "@toucantrestle/timer";
import { expect } from "earl";
import { type ChildProcess, fork } from "node:child_process";
import { randomInt } from "node:crypto";
import { afterEach, beforeEach, describe, it } from "node:test";
import { LinkServer } from "../src/mod.ts";

type Notices = { text: string };

/** Below the ephemeral ports, which outgoing connections may claim. */
const LOWEST_PORT = 12_000;
const HIGHEST_PORT = 31_000;
const READ_BYTES = 65_536;
const NOTICE_BYTES = 1_000;
/** Two reads, as one may have been under way when the first was handled. */
const MAX_NOTICES_A_TURN = 2 * READ_BYTES / NOTICE_BYTES;
const NOTICES = 30_000;

/** Returns a timer for which each look at the clock comes 1 ms later. */
function createSlowClock(): Timer {
  const timer = createSystemTimer();
  let looks = 0;
  timer.monotonicNow = () => looks++;
  return timer;
}

describe("a process that sends notices without end", () => {
  let server: LinkServer<Record<never, never>, Notices>;
  let sender: ChildProcess;
  let address: string;
  let count = 0;
  let inTurn = 0;
  let mostInTurn = 0;

  beforeEach(async () => {
    address = `127.0.0.1:${randomInt(LOWEST_PORT, HIGHEST_PORT)}`;
    server = new LinkServer<Record<never, never>, Notices>({
      log: createNoopLoggers()("link"),
      methods: {},
      notices: {
        text: () => {
          if (inTurn === 0) setImmediate(() => inTurn = 0);
          count += 1;
          inTurn += 1;
          mostInTurn = Math.max(mostInTurn, inTurn);
        },
      },
    });
    await server.listen(address, { timer: createSlowClock() });
    sender = fork(new URL("./endless_notices.js", import.meta.url), [address]);
  });

  afterEach(() => {
    sender.disconnect();
    server.close();
  });

  // Guards against others' requests that wait for one link, and are answered
  // too late.
  it("does not keep the event loop", async () => {
    while (count < NOTICES) {
      await new Promise((resolve) => setImmediate(resolve));
    }
    expect(mostInTurn <= MAX_NOTICES_A_TURN).toEqual(true);
  });
});
