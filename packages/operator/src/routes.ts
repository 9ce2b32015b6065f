import type { HttpContext, HttpRoute } from "@toucantrestle/http";
import { COLUMNS, type Edit, tableWarnings } from "@toucantrestle/table";
import { randomUUID } from "node:crypto";
import * as z from "zod";
import type { OperatorHandlers } from "./api.ts";

const cellSchema = z.union([
  z.number(),
  z.string(),
  z.boolean(),
  z.array(z.string()),
]);

const editSchema = z.object({
  writeId: z.string().min(8).max(64).optional(),
  reason: z.string().max(500).default(""),
  changes: z.array(z.object({
    row: z.string(),
    column: z.string(),
    seen: cellSchema.nullable(),
    value: cellSchema,
  })).default([]),
  removals: z.array(z.string()).default([]),
});

const keySchema = z.object({
  name: z.string().regex(/^[\w.-]{1,80}$/),
  role: z.enum(["caller", "operator", "sibling"]),
});

const faultsSchema = z.object({ cut: z.array(z.string()) });

/** Path prefix of the operators' API. */
export const OPERATOR_PREFIX = "/v1/operator";

/**
 * Returns the routes of the operators' API. The fault injection route is
 * included only if `allowFaults` is set.
 */
export function operatorRoutes(
  handlers: OperatorHandlers,
  opts: { allowFaults: boolean },
): HttpRoute[] {
  const get = (path: string, handler: HttpRoute["handler"]): HttpRoute => ({
    method: "GET",
    path: OPERATOR_PREFIX + path,
    role: "operator",
    handler,
  });
  const post = (path: string, handler: HttpRoute["handler"]): HttpRoute => ({
    ...get(path, handler),
    method: "POST",
  });
  const routes = [
    get("/table", () => handlers.table()),
    post("/table/edits", (ctx) => applyEdit(ctx, handlers)),
    get("/table/history", async () => ({ edits: await handlers.history() })),
    get("/columns", () => ({ kinds: COLUMNS })),
    get("/status", () => handlers.status()),
    get("/programs", async () => ({ programs: await handlers.programs() })),
    get("/timeline", async (ctx) => ({
      events: await handlers.timeline(parseTimelineFilter(ctx)),
    })),
    get("/keys", () => ({ keys: handlers.keys() })),
    post("/keys", async (ctx) => {
      const { name, role } = await ctx.json(keySchema);
      return { key: await handlers.createKey(name, role) };
    }),
    post("/keys/:id/revoke", async (ctx) => ({
      revoked: await handlers.revokeKey(ctx.params["id"] ?? ""),
    })),
    post("/drain", (ctx) => {
      handlers.drain(ctx.principal);
      return { draining: true };
    }),
  ];
  if (!opts.allowFaults) return routes;
  const setFaults = post("/faults", async (ctx) => {
    handlers.setFaults(await ctx.json(faultsSchema));
    return { ok: true };
  });
  return [...routes, setFaults];
}

async function applyEdit(ctx: HttpContext, handlers: OperatorHandlers) {
  const body = await ctx.json(editSchema);
  const edit: Edit = {
    writeId: body.writeId ?? randomUUID(),
    author: ctx.principal.name,
    reason: body.reason,
    changes: body.changes,
    removals: body.removals,
  };
  const table = await handlers.edit(edit);
  return { revision: table.revision, warnings: tableWarnings(table) };
}

function parseTimelineFilter(ctx: HttpContext) {
  const since = ctx.query.get("since_ms");
  return {
    program: ctx.query.get("program") ?? undefined,
    request: ctx.query.get("request") ?? undefined,
    part: ctx.query.get("part") ?? undefined,
    sinceMs: since === null ? undefined : Number(since),
  };
}
