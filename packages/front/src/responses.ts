import { type RefusalReason, retryAfterMs } from "@toucantrestle/routing";
import type { Verdict } from "@toucantrestle/verdict";
import type { ServerResponse } from "node:http";
import type { Call } from "./call.ts";

/** Answers a request that has not run, with a time to come back. */
export function refuse(res: ServerResponse, reason: RefusalReason): void {
  const ms = retryAfterMs(reason, Math.random());
  sendText(res, 503, `not run: ${reason}`, {
    "retry-after": (ms / 1_000).toFixed(3),
  });
}

/** Refuses a call, and notes why. */
export function refuseCall(call: Call, reason: RefusalReason): void {
  call.recorder.recordOutcome("refused", {
    status: 503,
    verdict: "not_run",
    reason,
  });
  refuse(call.res, reason);
}

/** Answers a call with a status of this process, and notes why. */
export function respond(
  call: Call,
  opts: { status: number; verdict: Verdict; reason: string },
): void {
  call.recorder.recordOutcome("answered", opts);
  sendText(call.res, opts.status, opts.reason);
}

/** Breaks an answer off, so that it does not look complete. */
export function abortResponse(call: Call, reason: string): void {
  call.recorder.recordOutcome("cut_off", {
    status: 0,
    verdict: "may_have_run",
    reason,
  });
  call.res.destroy();
}

/** Sends a short answer of this process. */
export function sendText(
  res: ServerResponse,
  status: number,
  text: string,
  headers: Record<string, string> = {},
): void {
  if (res.headersSent || res.destroyed) {
    res.destroy();
    return;
  }
  const body = Buffer.from(`${text}\n`);
  res.writeHead(status, {
    "content-type": "text/plain",
    "content-length": String(body.length),
    ...headers,
  });
  res.end(body);
}
