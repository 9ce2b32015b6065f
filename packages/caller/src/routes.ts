import type { HttpContext, HttpRoute } from "@toucantrestle/http";
import type { AnswerSink, CallerRequest } from "@toucantrestle/sibling";
import { BadRequestError } from "@toucantrestle/verdict";
import { randomUUID } from "node:crypto";
import * as z from "zod";
import { createHttpSink } from "./http_sink.ts";
import {
  checkProgramId,
  parseCompletion,
  parseServiceCall,
  readCallHeaders,
} from "./parse_call.ts";
import { newProgramId, programOfRequest } from "./program_ids.ts";

/** Answer to the question where to connect. Times in ms. */
export interface WhereAnswer {
  address: string;
  keep_ms: number;
  alternatives: string[];
}

/** What the daemon does for callers. */
export interface CallerHandlers {
  /** Runs a request, here or at the owner of its program. */
  handle(
    caller: string,
    request: CallerRequest,
    sink: AnswerSink,
  ): Promise<void>;
  /** Where a program's calls are best sent. */
  where(program: string | undefined): WhereAnswer;
  /** Shards that this daemon owns. */
  ownShards(): number[];
}

const startSchema = z.object({
  parent: z.string().optional(),
  budget_tokens: z.number().int().positive().optional(),
});

/** Routes of the callers' protocol. */
export function callerRoutes(handlers: CallerHandlers): HttpRoute[] {
  const run = (ctx: HttpContext, request: CallerRequest) =>
    handlers.handle(ctx.principal.name, request, createHttpSink(ctx.res));

  return [
    {
      method: "GET",
      path: "/v1/where",
      role: "caller",
      handler: (ctx) => handlers.where(programOfQuery(ctx)),
    },
    {
      method: "POST",
      path: "/v1/programs",
      role: "caller",
      handler: async (ctx) => run(ctx, await parseStart(ctx, handlers)),
    },
    {
      method: "GET",
      path: "/v1/programs/:program",
      role: "caller",
      handler: (ctx) => run(ctx, { kind: "show", program: programOfPath(ctx) }),
    },
    {
      method: "DELETE",
      path: "/v1/programs/:program",
      role: "caller",
      handler: (ctx) => run(ctx, { kind: "end", program: programOfPath(ctx) }),
    },
    {
      method: "GET",
      path: "/v1/programs/:program/steps/:step",
      role: "caller",
      handler: (ctx) =>
        run(ctx, {
          kind: "fetch_step",
          program: programOfPath(ctx),
          step: stepOfPath(ctx),
        }),
    },
    {
      method: "POST",
      path: "/v1/chat/completions",
      role: "caller",
      handler: async (ctx) => run(ctx, await parseComplete(ctx)),
    },
    {
      method: "POST",
      path: "/v1/services/:route",
      role: "caller",
      handler: async (ctx) =>
        run(ctx, await parseServiceCall(ctx, readCallHeaders(ctx))),
    },
  ];
}

async function parseStart(
  ctx: HttpContext,
  handlers: CallerHandlers,
): Promise<CallerRequest> {
  const hasRequestId = ctx.req.headers["x-request-id"] !== undefined;
  const { requestId } = readCallHeaders(ctx);
  const body = await ctx.json(startSchema);
  if (body.parent !== undefined) checkProgramId(body.parent);
  return {
    kind: "start",
    program: hasRequestId
      ? programOfRequest(ctx.principal.name, requestId)
      : newProgramId(handlers.ownShards()),
    requestId,
    parent: body.parent,
    budgetTokens: body.budget_tokens,
  };
}

/** A call without a program is a program of its own with one call. */
function parseComplete(ctx: HttpContext): Promise<CallerRequest> {
  const headers = readCallHeaders(ctx);
  if (headers.program !== undefined) {
    return parseCompletion(ctx, {
      ...headers,
      program: headers.program,
      isSingle: false,
    });
  }
  const requestId = ctx.req.headers["x-request-id"] === undefined
    ? randomUUID()
    : headers.requestId;
  const program = programOfRequest(ctx.principal.name, requestId);
  return parseCompletion(ctx, {
    ...headers,
    requestId,
    program,
    isSingle: true,
  });
}

function programOfQuery(ctx: HttpContext): string | undefined {
  const requestId = ctx.query.get("request_id");
  if (requestId !== null) {
    return programOfRequest(ctx.principal.name, requestId);
  }
  const program = ctx.query.get("program") ?? undefined;
  if (program !== undefined) checkProgramId(program);
  return program;
}

function programOfPath(ctx: HttpContext): string {
  const program = ctx.params["program"] ?? "";
  checkProgramId(program);
  return program;
}

function stepOfPath(ctx: HttpContext): number {
  const step = Number(ctx.params["step"]);
  if (Number.isInteger(step) && step >= 1) return step;
  throw new BadRequestError(`step "${ctx.params["step"]}" is not a number`);
}
