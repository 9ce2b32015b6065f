import { type Problem, PROBLEM_CONTENT_TYPE } from "@toucantrestle/verdict";
import type { ServerResponse } from "node:http";

const MS_PER_S = 1_000;

/** Writes a JSON answer. */
export function sendJson(
  res: ServerResponse,
  status: number,
  body: unknown,
): void {
  res.writeHead(status, { "content-type": "application/json" });
  res.end(JSON.stringify(body));
}

/** Writes a problem answer, with `retry-after` where it says when. */
export function sendProblem(res: ServerResponse, problem: Problem): void {
  if (res.headersSent) {
    res.destroy();
    return;
  }
  res.setHeader("content-type", PROBLEM_CONTENT_TYPE);
  if (problem.retry_after_ms !== undefined) {
    const seconds = Math.ceil(problem.retry_after_ms / MS_PER_S);
    res.setHeader("retry-after", String(seconds));
  }
  res.writeHead(problem.status);
  res.end(JSON.stringify(problem));
}
