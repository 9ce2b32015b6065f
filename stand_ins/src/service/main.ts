/**
 * Stand-in for a service. Records every execution so that checks can detect a
 * call that ran more than once.
 *
 * @module
 */
import { readSettingsOrExit } from "@toucantrestle/settings";
import * as z from "zod";
import { type AppRequest, createApp, sendJson } from "../http/app.ts";
import { serve } from "../http/serve.ts";

const settings = readSettingsOrExit({
  name: "stand-in-service",
  summary: "Stand-in for a service.",
  importMeta: import.meta,
  defs: {
    port: {
      flag: "port",
      type: "number",
      help: "TCP port; 0 picks a free port",
    },
    workMs: {
      flag: "work-ms",
      type: "number",
      help: "Processing time of a call in ms",
      defaultText: "20",
    },
  },
  schema: z.object({
    port: z.number().int().default(0),
    workMs: z.number().min(0).default(20),
  }),
});

const faultsSchema = z.object({
  /** Additional processing time of each call in ms. */
  slowMs: z.number().optional(),
  /** Leaves calls pending without executing or answering them. */
  hang: z.boolean().optional(),
  /** Executes calls and closes the connection before the response. */
  loseAnswer: z.boolean().optional(),
  /** Rejects calls without executing them. */
  refuse: z.boolean().optional(),
});

/** A recorded execution of a call. */
interface Execution {
  requestId: string;
  program: string;
  step: number;
  route: string;
  at: number;
}

const faults: z.infer<typeof faultsSchema> = {};
const executions: Execution[] = [];

async function handleCall(input: AppRequest): Promise<unknown> {
  const { req, res, params, body } = input;
  if (faults.refuse) {
    return sendJson(res, 503, { verdict: "not_run", detail: "refused" });
  }
  if (faults.hang) return undefined;
  await delay(settings.workMs + (faults.slowMs ?? 0));
  const execution: Execution = {
    requestId: String(req.headers["x-request-id"] ?? ""),
    program: String(req.headers["x-program"] ?? ""),
    step: Number(req.headers["x-step"] ?? 0),
    route: params["route"] ?? "",
    at: Date.now(),
  };
  executions.push(execution);
  if (faults.loseAnswer) {
    res.destroy();
    return undefined;
  }
  return {
    route: execution.route,
    confirmation: `c${executions.length}`,
    request_id: execution.requestId,
    echo: body,
  };
}

function delay(ms: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, ms));
}

const app = createApp({
  "POST /call/:route": handleCall,
  "GET /health": () => ({ ok: true }),
  "GET /record": () => ({ executions }),
  "POST /faults": ({ body }) => Object.assign(faults, faultsSchema.parse(body)),
});

serve(app, settings.port);
