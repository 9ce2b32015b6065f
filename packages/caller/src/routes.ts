import type { HttpContext, HttpRoute } from "@toucantrestle/http";
import type { CallerRequest, ResponseSink } from "@toucantrestle/sibling";
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
import { generateProgramId, programIdForRequest } from "./program_ids.ts";

/** Result of a host lookup: where a caller sends its requests. Times in ms. */
export interface HostLookupResult {
  address: string;
  keep_ms: number;
  alternatives: string[];
}

/** Operations of the daemon that the callers' routes invoke. */
export interface CallerHandlers {
  /** Processes a request locally or forwards it to the program's owner. */
  handle(
    caller: string,
    request: CallerRequest,
    sink: ResponseSink,
  ): Promise<void>;
  /** Returns the preferred host for the calls of a program. */
  lookUpHost(program: string | undefined): HostLookupResult;
  /** Returns the shards that this daemon owns. */
  listOwnedShards(): number[];
}

const startProgramSchema = z.object({
  parent: z.string().optional(),
  budget_tokens: z.number().int().positive().optional(),
});

/** Returns the HTTP routes of the callers' protocol. */
export function callerRoutes(handlers: CallerHandlers): HttpRoute[] {
  const handleRequest = (ctx: HttpContext, request: CallerRequest) =>
    handlers.handle(ctx.principal.name, request, createHttpSink(ctx.res));

  return [
    {
      method: "GET",
      path: "/v1/where",
      role: "caller",
      handler: (ctx) => handlers.lookUpHost(programIdFromQuery(ctx)),
    },
    {
      method: "POST",
      path: "/v1/programs",
      role: "caller",
      handler: async (ctx) =>
        handleRequest(ctx, await parseStartRequest(ctx, handlers)),
    },
    {
      method: "GET",
      path: "/v1/programs/:program",
      role: "caller",
      handler: (ctx) =>
        handleRequest(ctx, { kind: "show", program: programIdFromPath(ctx) }),
    },
    {
      method: "DELETE",
      path: "/v1/programs/:program",
      role: "caller",
      handler: (ctx) =>
        handleRequest(ctx, { kind: "end", program: programIdFromPath(ctx) }),
    },
    {
      method: "GET",
      path: "/v1/programs/:program/steps/:step",
      role: "caller",
      handler: (ctx) =>
        handleRequest(ctx, {
          kind: "fetch_step",
          program: programIdFromPath(ctx),
          step: stepFromPath(ctx),
        }),
    },
    {
      method: "POST",
      path: "/v1/chat/completions",
      role: "caller",
      handler: async (ctx) =>
        handleRequest(ctx, await parseCompletionRequest(ctx)),
    },
    {
      method: "POST",
      path: "/v1/services/:route",
      role: "caller",
      handler: async (ctx) =>
        handleRequest(ctx, await parseServiceCall(ctx, readCallHeaders(ctx))),
    },
  ];
}

async function parseStartRequest(
  ctx: HttpContext,
  handlers: CallerHandlers,
): Promise<CallerRequest> {
  const hasRequestId = ctx.req.headers["x-request-id"] !== undefined;
  const { requestId } = readCallHeaders(ctx);
  const body = await ctx.json(startProgramSchema);
  if (body.parent !== undefined) checkProgramId(body.parent);
  return {
    kind: "start",
    program: hasRequestId
      ? programIdForRequest(ctx.principal.name, requestId)
      : generateProgramId(handlers.listOwnedShards()),
    requestId,
    parent: body.parent,
    budgetTokens: body.budget_tokens,
  };
}

/**
 * Parses a model call. A call without the header `x-program` runs as a
 * single-call program, whose id is derived from the request id.
 */
function parseCompletionRequest(ctx: HttpContext): Promise<CallerRequest> {
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
  const program = programIdForRequest(ctx.principal.name, requestId);
  return parseCompletion(ctx, {
    ...headers,
    requestId,
    program,
    isSingle: true,
  });
}

function programIdFromQuery(ctx: HttpContext): string | undefined {
  const requestId = ctx.query.get("request_id");
  if (requestId !== null) {
    return programIdForRequest(ctx.principal.name, requestId);
  }
  const program = ctx.query.get("program") ?? undefined;
  if (program !== undefined) checkProgramId(program);
  return program;
}

function programIdFromPath(ctx: HttpContext): string {
  const program = ctx.params["program"] ?? "";
  checkProgramId(program);
  return program;
}

function stepFromPath(ctx: HttpContext): number {
  const step = Number(ctx.params["step"]);
  if (Number.isInteger(step) && step >= 1) return step;
  throw new BadRequestError(
    `step in the path must be a positive integer, got "${ctx.params["step"]}"`,
  );
}
