import { expect } from "earl";
import { type AddressInfo, createServer, type Server, Socket } from "node:net";
import { afterEach, beforeEach, describe, it } from "node:test";
import { dialTcp, isListening } from "../src/mod.ts";

/** Longer than a probe may take. */
const HOLD_UP_MS = 500;

let server: Server;
let address: string;

beforeEach(async () => {
  server = createServer((socket) => socket.on("error", () => {}));
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  address = `127.0.0.1:${(server.address() as AddressInfo).port}`;
});

afterEach(() => server.close());

/** Keeps this process from doing anything else. */
function blockFor(ms: number): void {
  const end = performance.now() + ms;
  while (performance.now() < end);
}

describe("a probe of an upstream", () => {
  // Guards against upstreams that count as crashed because this process was
  // held up.
  it("finds one whose acceptance arrived while this process was held up", async () => {
    const probe = isListening(address, dialTcp);
    blockFor(HOLD_UP_MS);
    expect(await probe).toEqual(true);
  });

  it("finds that nothing listens", async () => {
    await new Promise((resolve) => server.close(resolve));
    expect(await isListening(address, dialTcp)).toEqual(false);
  });

  it("gives up a connection that is neither accepted nor refused", async () => {
    expect(await isListening(address, () => new Socket())).toEqual(false);
  });
});
