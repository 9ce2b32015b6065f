import { createNoopLoggers } from "@toucantrestle/log";
import {
  createSystemTimer,
  createTimerScope,
  type TimerScope,
} from "@toucantrestle/timer";
import { expect } from "earl";
import { randomInt } from "node:crypto";
import { afterEach, beforeEach, describe, it } from "node:test";
import { LinkClient, LinkServer } from "../src/mod.ts";

type Methods = { size: { args: Uint8Array; result: number } };

/** Below the ephemeral ports, which outgoing connections may claim. */
const LOWEST_PORT = 12_000;
const HIGHEST_PORT = 31_000;
const WAIT_TIMEOUT_MS = 4_000;
const REQUEST_TIMEOUT_MS = 10_000;
const BODY = new Uint8Array(4_000_000);
const SMALL_BODY = new Uint8Array(1_000);
/** Above the largest message. */
const HUGE_BODY = new Uint8Array(18_000_000);
/** More, together, than is read before some are handled. */
const REQUESTS = 12;
/** Shorter than a link may be silent. */
const HELD_MS = 100;

describe("large requests that are handled slowly", () => {
  let scope: TimerScope;
  let server: LinkServer<Methods, Record<never, never>>;
  let client: LinkClient<Methods, Record<never, never>>;
  let handled: (() => void)[];

  beforeEach(async () => {
    scope = createTimerScope(createSystemTimer());
    handled = [];
    const log = createNoopLoggers()("link");
    const address = `127.0.0.1:${randomInt(LOWEST_PORT, HIGHEST_PORT)}`;
    server = new LinkServer<Methods, Record<never, never>>({
      log,
      methods: {
        size: (body) =>
          new Promise((resolve) => handled.push(() => resolve(body.length))),
      },
      notices: {},
    });
    await server.listen(address, { timer: scope });
    client = new LinkClient({ self: "h1", address, timer: scope, log });
    await client.waitUntilOpen(WAIT_TIMEOUT_MS);
  });

  afterEach(() => {
    client.close();
    server.close();
    scope.end();
  });

  // Guards against a link that ends because the other side has much to do.
  it("all get their results, those that were held back as well", async () => {
    const results: Promise<number>[] = [];
    const send = () =>
      results.push(client.request("size", BODY, REQUEST_TIMEOUT_MS));
    for (let i = 0; i < REQUESTS; i++) {
      const before = handled.length;
      send();
      await untilHandledOrHeld(before);
    }
    let done = 0;
    while (done < REQUESTS) {
      await new Promise((resolve) => setImmediate(resolve));
      for (; done < handled.length; done++) handled[done]?.();
      if (!client.isOpen) break;
    }
    const sizes = await Promise.all(results);
    expect(sizes).toEqual(sizes.map(() => BODY.length));
  });

  // Guards against one caller whose message ends the requests of all others.
  it("fail alone if the other side would not take them", async () => {
    const other = client.request("size", SMALL_BODY, REQUEST_TIMEOUT_MS);
    const tooLarge = client.request("size", HUGE_BODY, REQUEST_TIMEOUT_MS);
    await expect(tooLarge).toBeRejectedWith("too large");
    await untilHandledOrHeld(0);
    for (const resolve of handled) resolve();
    expect(await other).toEqual(SMALL_BODY.length);
  });

  /** Resolves once a request has arrived, or the server reads no more. */
  async function untilHandledOrHeld(before: number): Promise<void> {
    const endsAt = performance.now() + HELD_MS;
    while (handled.length === before && performance.now() < endsAt) {
      await new Promise((resolve) => setImmediate(resolve));
    }
  }
});
