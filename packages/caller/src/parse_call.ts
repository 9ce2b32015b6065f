import type { CompleteRequest, ServiceRequest } from "@toucantrestle/sibling";
import type { HttpContext } from "@toucantrestle/http";
import { shardOfProgram } from "@toucantrestle/membership";
import { BadRequestError, NotFoundError } from "@toucantrestle/verdict";
import { createHash, randomUUID } from "node:crypto";
import * as z from "zod";

const messageSchema = z.object({
  role: z.enum(["system", "user", "assistant", "tool"]),
  content: z.string().nullish().transform((it) => it ?? ""),
  name: z.string().optional(),
  tool_call_id: z.string().optional(),
  tool_calls: z.unknown().optional(),
});

const completionSchema = z.looseObject({
  model: z.string().min(1),
  messages: z.array(messageSchema).min(1),
  max_tokens: z.number().int().positive().optional(),
  max_completion_tokens: z.number().int().positive().optional(),
  stream: z.boolean().default(false),
});

const HEADER_PATTERN = /^[\w.:-]{1,128}$/;

/** Body fields that the daemon sets itself rather than forwards. */
const RESERVED_FIELDS = new Set([
  "model",
  "messages",
  "max_tokens",
  "max_completion_tokens",
  "stream",
  "stream_options",
  "priority",
  "prompt_cache_key",
  "continue_from",
]);

/** Program id, step number and request id from the headers of a call. */
export interface CallHeaders {
  program: string | undefined;
  step: number | undefined;
  requestId: string;
}

/**
 * Parses the headers of a call. Generates a request id if the caller sent none.
 *
 * @throws {BadRequestError} if a header is malformed
 */
export function readCallHeaders(ctx: HttpContext): CallHeaders {
  const stepText = readHeader(ctx, "x-step");
  const step = stepText === undefined ? undefined : Number(stepText);
  if (step !== undefined && (!Number.isInteger(step) || step < 1)) {
    throw new BadRequestError(
      `header x-step must be a positive integer, got "${stepText}"`,
    );
  }
  const program = readHeader(ctx, "x-program");
  if (program !== undefined) checkProgramId(program);
  return {
    program,
    step,
    requestId: readHeader(ctx, "x-request-id") ?? randomUUID(),
  };
}

/**
 * Validates the format of a program id.
 *
 * @throws {NotFoundError} if the id does not name a valid shard, so that no
 * program can have it
 */
export function checkProgramId(program: string): void {
  if (shardOfProgram(program) !== undefined) return;
  throw new NotFoundError(`program "${program}" is not known`);
}

/** Parses a model call in the OpenAI chat completion format. */
export async function parseCompletion(
  ctx: HttpContext,
  headers: CallHeaders & { program: string; isSingle: boolean },
): Promise<CompleteRequest> {
  const body = await ctx.json(completionSchema);
  const extra = Object.fromEntries(
    Object.entries(body).filter(([name]) => !RESERVED_FIELDS.has(name)),
  );
  const maxTokens = body.max_tokens ?? body.max_completion_tokens;
  const content = JSON.stringify([body.model, body.messages, maxTokens, extra]);
  return {
    kind: "complete",
    program: headers.program,
    step: headers.step,
    requestId: headers.requestId,
    model: body.model,
    messages: body.messages,
    maxTokens,
    stream: body.stream,
    extra,
    fingerprint: computeFingerprint(content),
    isSingle: headers.isSingle,
  };
}

/** Parses a call to a service route. */
export async function parseServiceCall(
  ctx: HttpContext,
  headers: CallHeaders,
): Promise<ServiceRequest> {
  const body = JSON.stringify(await ctx.json(z.unknown()));
  const route = ctx.params["route"] ?? "";
  if (headers.program === undefined) {
    throw new BadRequestError(
      "service call lacks the required header x-program",
    );
  }
  return {
    kind: "service",
    program: headers.program,
    step: headers.step,
    requestId: headers.requestId,
    route,
    body,
    fingerprint: computeFingerprint(`${route}\n${body}`),
  };
}

function readHeader(ctx: HttpContext, name: string): string | undefined {
  const value = ctx.req.headers[name];
  if (value === undefined) return undefined;
  if (typeof value === "string" && HEADER_PATTERN.test(value)) return value;
  throw new BadRequestError(
    `header ${name} must consist of 1 to 128 letters, digits, underscores, dots, colons or dashes`,
  );
}

function computeFingerprint(content: string): string {
  return createHash("sha256").update(content).digest("base64url").slice(0, 22);
}
