import { createSystemTimer } from "@toucantrestle/timer";
import { expect } from "earl";
import { createServer, type Server, type ServerResponse } from "node:http";
import { type AddressInfo, connect } from "node:net";
import process from "node:process";
import { afterEach, beforeEach, describe, it } from "node:test";
import { neverAttempted } from "../src/attempt_ledger.ts";
import { CallerConnections } from "../src/caller_connections.ts";
import { refuse } from "../src/responses.ts";

const ODD_TIMES_MS = [
  -1e21,
  -5_000,
  -0,
  0,
  5e-324,
  1_999.5,
  2 ** 31,
  2 ** 32 + 1,
  2 ** 53,
  1e21,
  Infinity,
];
const REQUEST = "GET / HTTP/1.1\r\nhost: a\r\n\r\n";
const WARNING = "TimeoutOverflowWarning";

let server: Server;
let serve: (res: ServerResponse) => void;
let connections: CallerConnections;

beforeEach(async () => {
  serve = (res) => void res.end("ok");
  server = createServer((req, res) => {
    connections.add(req, res);
    serve(res);
  });
  connections = new CallerConnections({ server, timer: createSystemTimer() });
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
});

afterEach(() => {
  server.closeAllConnections();
  server.close();
});

/** Sends two requests on one connection; returns what is received. */
function sendTwice(betweenRequests: () => void): Promise<string> {
  const { port } = server.address() as AddressInfo;
  return new Promise((resolve, reject) => {
    let text = "";
    let sent = 1;
    const socket = connect(port, "127.0.0.1", () => socket.write(REQUEST));
    socket.on("error", reject);
    socket.on("close", () => resolve(text));
    socket.on("data", (bytes) => {
      text += bytes.toString();
      const count = text.split("HTTP/1.1 200").length - 1;
      if (count === 2) return socket.destroy();
      if (count < sent) return;
      sent = 2;
      betweenRequests();
      socket.write(REQUEST);
    });
  });
}

describe("a front with odd timeouts", () => {
  for (const ms of ODD_TIMES_MS) {
    // Guards against a timeout that ends the process with a response (FAULT).
    it(`answers requests on a kept connection (${ms} ms)`, async () => {
      const warnings: string[] = [];
      const onWarning = ({ name }: Error) => warnings.push(name);
      process.on("warning", onWarning);
      const text = await sendTwice(() =>
        connections.setTimeouts({ idleTimeoutMs: ms, headTimeoutMs: ms })
      );
      process.off("warning", onWarning);
      expect(text.split("HTTP/1.1 200").length - 1).toEqual(2);
      expect(warnings.includes(WARNING)).toEqual(false);
      const { headersTimeout, keepAliveTimeout } = server;
      for (const it of [headersTimeout, keepAliveTimeout]) {
        expect(Number.isInteger(it) && it > 0 && it < 2 ** 31).toEqual(true);
      }
    });
  }
});

describe("the time to return of a refusal", () => {
  for (const waitMs of [...ODD_TIMES_MS, NaN]) {
    // Guards against a header that no caller can read.
    it(`is a number of seconds (${waitMs} ms)`, async () => {
      serve = (res) =>
        refuse(res, "no_upstream", { proof: neverAttempted(), waitMs });
      const { port } = server.address() as AddressInfo;
      const res = await fetch(`http://127.0.0.1:${port}/`);
      await res.text();
      const value = res.headers.get("retry-after") ?? "";
      expect(/^\d{1,4}\.\d{3}$/.test(value)).toEqual(true);
    });
  }
});
