/**
 * Stand-in for a model engine, with continuous batching, a prefix cache,
 * priorities, streaming, cache events, load reports, orders and fault switches.
 *
 * @module
 */
import process from "node:process";
import * as z from "zod";
import { createApp } from "../http/app.ts";
import { serve } from "../http/serve.ts";
import { CompletionServer } from "./completion_server.ts";
import { ControlServer } from "./control_server.ts";
import { EngineModel } from "./engine_model.ts";
import { readEngineSettings } from "./settings.ts";

const TICK_INTERVAL_MS = 5;
const LOAD_SAMPLE_INTERVAL_MS = 50;
const CRASH_EXIT_STATUS = 70;

const faultsSchema = z.object({
  hang: z.boolean().optional(),
  refuse: z.boolean().optional(),
  cutAfterTokens: z.number().int().optional(),
});

const settings = readEngineSettings(import.meta);
const models = new Set(settings.models.split(",").filter((it) => it !== ""));
const model = new EngineModel(settings, Date.now());
const completions = new CompletionServer({
  model,
  settings,
  models,
  onCrash: () => process.exit(CRASH_EXIT_STATUS),
});
const control = new ControlServer({ model, settings, models });

setInterval(() => completions.tick(Date.now()), TICK_INTERVAL_MS);
setInterval(() => control.sampleLoad(Date.now()), LOAD_SAMPLE_INTERVAL_MS);

const app = createApp({
  "POST /v1/chat/completions": (input) => completions.handle(input),
  ...control.routes(),
  "GET /health": () => ({ ok: true }),
  "GET /record": () => ({
    executions: completions.executions,
    prefilledTokens: model.prefilledTokens,
    generatedTokens: model.generatedTokens,
  }),
  "POST /faults": ({ body }) => {
    const changes = faultsSchema.parse(body);
    Object.assign(completions.faults, changes);
    if (changes.cutAfterTokens === 0) delete completions.faults.cutAfterTokens;
    return completions.faults;
  },
});

serve(app, settings.port);
