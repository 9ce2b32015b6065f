/**
 * What all cases do: write a record, run for a bounded time, end with the exit
 * status of the verdict.
 *
 * @module
 */
import { writeFileSync } from "node:fs";
import { join } from "node:path";
import { request } from "node:http";

const MAX_RUN_MS = 110_000;
const HELD = 0;
const BROKEN = 1;
const NOT_RUN = 2;

/** Whether the disturbance is left out. */
export const isCalm = process.env.TROUBLE === "0";

/**
 * Runs a case. `play` gets a function that writes a line of the record, and one
 * that registers what has to be ended; it returns whether the rule was broken.
 */
export async function runCase(folder, play) {
  const startedAt = performance.now();
  const lines = [];
  const closers = [];
  const record = (text) => {
    const ms = Math.round(performance.now() - startedAt);
    lines.push(`${String(ms).padStart(6)} ms  ${text}`);
  };
  const timeout = new Promise((_, reject) =>
    setTimeout(() => reject(new Error("the case took too long")), MAX_RUN_MS)
  );
  let status = NOT_RUN;
  try {
    record(isCalm ? "without the disturbance" : "with the disturbance");
    const isBroken = await Promise.race([
      play(record, (fn) => closers.push(fn)),
      timeout,
    ]);
    status = isBroken ? BROKEN : HELD;
    record(isBroken ? "the rule was broken" : "the rule held");
  } catch (err) {
    record(`the case could not run: ${err.stack ?? err}`);
  }
  for (const close of closers.reverse()) await close();
  const text = lines.join("\n") + "\n";
  writeFileSync(join(folder, "record.txt"), text);
  console.log(text);
  process.exit(status);
}

/**
 * Sends a request as a consumer does, on a new channel. `isComplete` tells
 * whether the answer ended as its framing says; a reset is no such end.
 */
export function send({ host, port }, opts) {
  const { method = "GET", path, headers, body, onHead = () => {} } = opts;
  const { onData = () => {} } = opts;
  return new Promise((resolve) => {
    const chunks = [];
    const result = { status: 0, headers: {}, isComplete: false, error: "" };
    const end = () => resolve({ ...result, body: Buffer.concat(chunks) });
    const req = request(
      {
        host,
        port,
        method,
        path,
        headers: { Host: "shop.example", ...headers },
        agent: false,
      },
      (res) => {
        result.status = res.statusCode;
        result.headers = res.headers;
        onHead(res);
        res.on("data", (chunk) => {
          chunks.push(chunk);
          onData(chunk);
        });
        res.on("error", (err) => {
          result.error = err.code ?? err.message;
        });
        res.on("close", () => {
          result.isComplete = res.complete && result.error === "";
          end();
        });
      },
    );
    // Node.js reports a reset that arrives with bytes as an end; the kernel then
    // knows no other side any more.
    req.on("socket", (socket) =>
      socket.prependListener("end", () => {
        if (socket.remoteAddress === undefined) result.error ||= "ECONNRESET";
      }));
    opts.signal?.addEventListener("abort", () => req.destroy());
    req.on("error", (err) => {
      result.error ||= err.code ?? err.message;
      if (result.status === 0) end();
    });
    req.end(body);
  });
}

/** Returns a new request id. */
export function newId() {
  return Array.from(
    crypto.getRandomValues(new Uint8Array(8)),
    (it) => it.toString(16).padStart(2, "0"),
  ).join("");
}
