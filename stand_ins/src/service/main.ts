/**
 * Stand-in of a plain service. It keeps a record of every execution, so that
 * a call that ran twice shows.
 *
 * @module
 */
import { readSettingsOrExit } from "@toucantrestle/settings";
import * as z from "zod";
import { type AppRequest, createApp, sendJson } from "../http/app.ts";
import { serve } from "../http/serve.ts";

const settings = readSettingsOrExit({
  name: "stand-in-service",
  summary: "Stand-in of a plain service.",
  importMeta: import.meta,
  defs: {
    port: { flag: "port", type: "number", help: "TCP port, 0 for any" },
    workMs: {
      flag: "work-ms",
      type: "number",
      help: "Time of one call in ms",
      defaultText: "20",
    },
  },
  schema: z.object({
    port: z.number().int().default(0),
    workMs: z.number().min(0).default(20),
  }),
});

const faultsSchema = z.object({
  /** Added to the time of each call, in ms. */
  slowMs: z.number().optional(),
  /** Calls never get an answer and do not run. */
  hang: z.boolean().optional(),
  /** Calls run and their connection is cut before the answer. */
  loseAnswer: z.boolean().optional(),
  /** Calls are refused without having run. */
  refuse: z.boolean().optional(),
});

/** One execution of a call. */
interface Execution {
  requestId: string;
  program: string;
  step: number;
  route: string;
  at: number;
}

const faults: z.infer<typeof faultsSchema> = {};
const executions: Execution[] = [];

async function call(input: AppRequest): Promise<unknown> {
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
  "POST /call/:route": call,
  "GET /health": () => ({ ok: true }),
  "GET /record": () => ({ executions }),
  "POST /faults": ({ body }) => Object.assign(faults, faultsSchema.parse(body)),
});

serve(app, settings.port);
