import { type RefusalReason, retryAfterMs } from "@toucantrestle/routing";
import type { ServerResponse } from "node:http";

/** Answers a request that has not run, with a time to come back. */
export function refuse(res: ServerResponse, reason: RefusalReason): void {
  const ms = retryAfterMs(reason, Math.random());
  sendText(res, 503, `not run: ${reason}`, {
    "retry-after": (ms / 1_000).toFixed(3),
  });
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

/** Breaks an answer off, so that it does not look complete. */
export function breakOff(res: ServerResponse): void {
  res.destroy();
}
