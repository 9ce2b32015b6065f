import { LinkServer, type StreamReceiver } from "@toucantrestle/link";
import { createNoopLoggers } from "@toucantrestle/log";
import { createManualTimer, createSystemTimer } from "@toucantrestle/timer";
import { expect } from "earl";
import { afterEach, describe, it } from "node:test";
import { setTimeout as delay } from "node:timers/promises";
import type { FrontStreams, RelayPart } from "../src/exchange_relay.ts";
import type { FrontMethods, FrontNotices } from "../src/protocol.ts";
import { SiblingLinks } from "../src/siblings/sibling_links.ts";
import { freeAddress } from "./test_cluster.ts";

const HOST = "sibling";
const LINK_TIMEOUT_MS = 5_000;
const POLL_MS = 10;
/** A link to a server that listens is open by then. */
const DIAL_MS = 200;
/** After this time a link that is idle is closed. */
const IDLE_MS = 21_000;

const log = createNoopLoggers()("sibling");
const cleanups: (() => void)[] = [];

afterEach(() => {
  for (const clean of cleanups.splice(0)) clean();
});

/** Creates links, and a server of exchanges that the test answers. */
async function createFixture() {
  const timer = createManualTimer();
  const receivers: StreamReceiver<RelayPart>[] = [];
  let linkCount = 0;
  const serve = async () => {
    const address = await freeAddress();
    const server = new LinkServer<FrontMethods, FrontNotices, FrontStreams>({
      log,
      methods: {} as never,
      notices: {} as never,
      streams: {
        exchange: (_args, receiver) => {
          receivers.push(receiver);
          return { onControl() {}, onLost() {} };
        },
      },
    });
    await server.listen(address, { timer: createSystemTimer() });
    cleanups.push(() => server.close());
    return address;
  };
  let address: string | undefined = await serve();
  const links = new SiblingLinks({
    self: "self",
    addressOf: () => address,
    onOpen() {
      linkCount += 1;
    },
    onLost() {},
    confirmedAt: () => timer.monotonicNow(),
    timer,
    log,
  });
  links.start();
  cleanups.push(() => links.close());
  const seen: string[] = [];
  return {
    seen,
    /** Opens an exchange and waits until the sibling has it. */
    async openExchange() {
      const link = await links.reach(HOST, LINK_TIMEOUT_MS);
      link.open("exchange", {} as never, {
        onPart: (part) => seen.push(part.kind),
        onEnd: () => seen.push("ended"),
        onLost: () => seen.push("lost"),
      });
      while (receivers.length === 0) await delay(POLL_MS);
    },
    /** Lets the sibling end the exchange, and waits for what is seen of it. */
    async endExchange() {
      receivers[0]?.send({ kind: "end" });
      receivers[0]?.end();
      while (seen.length < 2 && !seen.includes("lost")) await delay(POLL_MS);
    },
    close: () => links.close(),
    reach: () => links.reach(HOST, LINK_TIMEOUT_MS),
    linkCount: () => linkCount,
    deregisterHost: () => {
      address = undefined;
      links.setPermanent(new Map());
    },
    pass: (ms: number) => timer.advance(ms),
    async moveHost() {
      address = await serve();
      links.setPermanent(new Map([[HOST, address]]));
    },
  };
}

describe("SiblingLinks", () => {
  // Guards against LOST: an exchange that ends with the link it runs on.
  it("keeps a link with an exchange when the host has another address", async () => {
    const { openExchange, moveHost, endExchange, seen } = await createFixture();
    await openExchange();
    await moveHost();
    await endExchange();
    expect(seen).toEqual(["end", "ended"]);
  });

  // Guards against LOST: as above, for a host that leaves the registry.
  it("keeps a link with an exchange when the host is not registered", async () => {
    const fixture = await createFixture();
    await fixture.openExchange();
    fixture.deregisterHost();
    fixture.pass(IDLE_MS);
    await fixture.endExchange();
    expect(fixture.seen).toEqual(["end", "ended"]);
  });

  // Guards against links that nobody closes: a front that has closed may still
  // hear of siblings.
  it("dials nothing once it is closed", async () => {
    const fixture = await createFixture();
    fixture.close();
    await fixture.moveHost();
    await expect(fixture.reach()).toBeRejectedWith("closed");
    await delay(DIAL_MS);
    expect(fixture.linkCount()).toEqual(0);
  });
});
