import { expect } from "earl";
import { describe, it } from "node:test";
import {
  collectResponse,
  MemoryHolders,
  type ResponseHandler,
} from "../src/mod.ts";

const MAX_BYTES = 1_000;

/** Starts a request whose response the test brings. */
function startRequest() {
  const holders = new MemoryHolders();
  const abort = new AbortController();
  const aborts: string[] = [];
  const control = { abort: (reason: Error) => aborts.push(reason.name) };
  let handler: ResponseHandler | undefined;
  const result = collectResponse({
    maxBytes: MAX_BYTES,
    purpose: "responses",
    signal: abort.signal,
    holders,
  }, (it) => handler = it);
  const outcome = result.then(
    ({ status, text }) => `${status} ${text}`,
    (err) => (err as Error).name,
  );
  return {
    abort,
    aborts,
    outcome,
    holders,
    start: () => handler?.onRequestStart(control),
    head: (status: number) => handler?.onResponseStart(control, status, {}),
    data: (text: string) => handler?.onResponseData(control, Buffer.from(text)),
    end: () => handler?.onResponseEnd(),
    fail: (err: Error) => handler?.onResponseError(control, err),
  };
}

describe("collectResponse", () => {
  it("returns a response that came in pieces", async () => {
    const req = startRequest();
    req.start();
    req.head(103);
    req.head(200);
    for (const it of "whole") req.data(it);
    expect(req.holders.count).toEqual(1);
    req.end();
    expect(await req.outcome).toEqual("200 whole");
    expect(req.holders.count).toEqual(0);
  });

  it("ends a request whose response is too long", async () => {
    const req = startRequest();
    req.start();
    req.data("x".repeat(MAX_BYTES + 1));
    expect(await req.outcome).toEqual("ResponseTooLargeError");
    expect(req.aborts).toEqual(["ResponseTooLargeError"]);
  });

  // Guards against small pieces that cost more than their bytes.
  it("ends a request whose response has too many pieces", async () => {
    const req = startRequest();
    req.start();
    for (let i = 0; i < MAX_BYTES / 10; i++) req.data("x");
    expect(await req.outcome).toEqual("ResponseTooLargeError");
  });

  it("ends a request that is cut for lack of memory", async () => {
    const req = startRequest();
    req.start();
    for (const it of req.holders) it.cut?.();
    expect(await req.outcome).toEqual("MemoryCutError");
    expect(req.holders.count).toEqual(0);
  });

  it("ends a request that is aborted before it has a connection", async () => {
    const req = startRequest();
    req.abort.abort(new DOMException("", "TimeoutError"));
    expect(await req.outcome).toEqual("TimeoutError");
    req.start();
    expect(req.aborts).toEqual(["TimeoutError"]);
  });

  it("fails with its request", async () => {
    const req = startRequest();
    req.start();
    req.fail(new TypeError());
    expect(await req.outcome).toEqual("TypeError");
    expect(req.holders.count).toEqual(0);
  });
});
