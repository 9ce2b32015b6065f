import { expect } from "earl";
import { createServer, type Server, type ServerResponse } from "node:http";
import type { AddressInfo } from "node:net";
import { afterEach, describe, it } from "node:test";
import { setTimeout as delay } from "node:timers/promises";
import { HttpStore, type StoreEvent, type WatchEndReason } from "../src/mod.ts";

const WAIT_MS = 2_000;
/** Above the largest response of two reads, for kernel buffers as well. */
const MAX_SENT_BYTES = 150_000_000;
let server: Server | undefined;
let store: HttpStore | undefined;

afterEach(async () => {
  await store?.close();
  server?.closeAllConnections();
  server?.close();
});

/**
 * Starts a store that answers a watch as given, and watches a prefix. `onRange`
 * answers reads; without it a read has no answer.
 */
async function watch(
  onWatch: (res: ServerResponse) => void,
  onRange: (res: ServerResponse) => void = () => {},
): Promise<{
  events: StoreEvent[];
  reason: WatchEndReason | "open" | undefined;
}> {
  server = createServer((req, res) => {
    req.resume();
    if (req.url === "/v3/watch") onWatch(res);
    else onRange(res);
  });
  await new Promise<void>((resolve) => server?.listen(0, "127.0.0.1", resolve));
  const { port } = server.address() as AddressInfo;
  const client = new HttpStore({
    url: `http://127.0.0.1:${port}`,
    timeoutMs: WAIT_MS,
  });
  store = client;
  const events: StoreEvent[] = [];
  const reason = await new Promise<WatchEndReason | "open" | undefined>(
    (resolve) => {
      const timeout = setTimeout(() => resolve("open"), WAIT_MS);
      client.watch("p/", {
        fromRevision: 3,
        handlers: {
          onEvents: (it) => events.push(...it),
          onEnd: (it) => {
            clearTimeout(timeout);
            resolve(it);
          },
        },
      });
    },
  );
  return { events, reason };
}

function writeLine(res: ServerResponse, result: unknown): void {
  res.write(`${JSON.stringify({ result })}\n`);
}

/** Answers a read with the keys that changed after the watch began. */
function sendChangedKeys(res: ServerResponse, keys: string[]): void {
  const kvs = keys.map((it) => ({
    key: Buffer.from(it).toString("base64"),
    mod_revision: "7",
  }));
  res.end(JSON.stringify({ header: { revision: "7" }, kvs }));
}

/** Begins a watch that reports nothing. */
function startSilentWatch(res: ServerResponse): void {
  writeLine(res, { header: { revision: "2" }, created: true });
}

describe("a watch of HttpStore", () => {
  // Guards against an edit that is never in force on a daemon (CONFIG).
  it("ends as lost when it is silent and the store has newer keys", async () => {
    const { reason } = await watch(
      startSilentWatch,
      (res) => sendChangedKeys(res, ["p/a"]),
    );
    expect(reason).toEqual("lost");
  });

  // Guards against an edit that is never in force on a daemon (CONFIG).
  it("ends as lost when the store's connections are silent", async () => {
    const { reason } = await watch(startSilentWatch);
    expect(reason).toEqual("lost");
  });

  it("stays open when it is silent because there is no change", async () => {
    const { reason } = await watch(
      startSilentWatch,
      (res) => sendChangedKeys(res, []),
    );
    expect(reason).toEqual("open");
  });

  it("ends as compacted when the store cancels it for that reason", async () => {
    const { reason } = await watch((res) => {
      writeLine(res, { header: { revision: "9" }, created: true });
      writeLine(res, { canceled: true, compact_revision: "8" });
    });
    expect(reason).toEqual("compacted");
  });

  it("ends as lost when the store cancels it otherwise", async () => {
    const { reason } = await watch((res) => writeLine(res, { canceled: true }));
    expect(reason).toEqual("lost");
  });

  it("ends as lost when its connection ends inside a line", async () => {
    const { reason, events } = await watch((res) => {
      res.socket?.end('HTTP/1.1 200 OK\r\n\r\n{"result":{"ev');
    });
    expect([reason, events]).toEqual(["lost", []]);
  });

  // Guards against a service whose response never ends.
  it("ends as lost when a line does not end", async () => {
    const { reason } = await watch(
      (res) => pour(res, () => {}),
      (res) => sendChangedKeys(res, []),
    );
    expect(reason).toEqual("lost");
  });
});

describe("a read of HttpStore", () => {
  // Guards against a service whose response never ends.
  it("fails after bounded bytes if its response does not end", async () => {
    let sentBytes = 0;
    const previous = store;
    const watching = watch(
      startSilentWatch,
      (res) => pour(res, (bytes) => sentBytes += bytes),
    );
    while (store === previous) await delay(1);
    const result = await store?.list("p/").catch((err) => err.verdict);
    expect(result).toEqual("may_have_run");
    expect(sentBytes).toBeLessThan(MAX_SENT_BYTES);
    await watching;
  });
});

/** Writes a line that never ends, as fast as it is read. */
function pour(res: ServerResponse, onSent: (bytes: number) => void): void {
  const piece = Buffer.alloc(262_144, " ");
  const writeOn = () => {
    while (!res.destroyed) {
      onSent(piece.length);
      if (!res.write(piece)) return void res.once("drain", writeOn);
    }
  };
  writeOn();
}
