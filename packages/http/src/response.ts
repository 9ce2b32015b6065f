import { type Problem, PROBLEM_CONTENT_TYPE } from "@toucantrestle/verdict";
import type { ServerResponse } from "node:http";
import { isLeftUnread } from "./unread_body.ts";

const MS_PER_S = 1_000;

/** Sends a JSON response. */
export function sendJson(
  res: ServerResponse,
  status: number,
  body: unknown,
): void {
  announceEndIfUnread(res);
  res.writeHead(status, { "content-type": "application/json" });
  res.end(JSON.stringify(body));
}

/**
 * Sends a problem response, with a `retry-after` header if the problem has a
 * retry delay. If the response headers have already been sent, closes the
 * connection instead.
 */
export function sendProblem(res: ServerResponse, problem: Problem): void {
  if (res.headersSent) {
    res.destroy();
    return;
  }
  announceEndIfUnread(res);
  res.setHeader("content-type", PROBLEM_CONTENT_TYPE);
  if (problem.retry_after_ms !== undefined) {
    const seconds = Math.ceil(problem.retry_after_ms / MS_PER_S);
    res.setHeader("retry-after", String(seconds));
  }
  res.writeHead(problem.status);
  res.end(JSON.stringify(problem));
}

function announceEndIfUnread(res: ServerResponse): void {
  if (isLeftUnread(res.req)) res.setHeader("connection", "close");
}
