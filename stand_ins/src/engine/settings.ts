import { readSettingsOrExit } from "@toucantrestle/settings";
import * as z from "zod";
import { DEFAULT_ENGINE_PARAMS } from "./engine_model.ts";

const schema = z.object({
  port: z.number().int().default(0),
  models: z.string().default("small"),
  prefillTokensPerS: z.number().positive()
    .default(DEFAULT_ENGINE_PARAMS.prefillTokensPerS),
  decodeBaseMs: z.number().positive()
    .default(DEFAULT_ENGINE_PARAMS.decodeBaseMs),
  decodePerSequenceMs: z.number().min(0)
    .default(DEFAULT_ENGINE_PARAMS.decodePerSequenceMs),
  maxBatch: z.number().int().positive()
    .default(DEFAULT_ENGINE_PARAMS.maxBatch),
  cacheTokens: z.number().int().positive()
    .default(DEFAULT_ENGINE_PARAMS.cacheTokens),
  checksOrders: z.boolean().default(true),
  canResume: z.boolean().default(true),
  eventLagMs: z.number().min(0).default(200),
  eventGapEvery: z.number().int().min(0).default(0),
  loadLagMs: z.number().min(0).default(200),
  weightStoreUrl: z.string().default(""),
});

/** Settings of the engine stand-in. */
export type EngineSettings = z.infer<typeof schema>;

/** Reads the settings, or ends the process with status 2. */
export function readEngineSettings(importMeta: ImportMeta): EngineSettings {
  return readSettingsOrExit({
    name: "stand-in-engine",
    summary: "Stand-in of a model engine.",
    importMeta,
    schema,
    defs: {
      port: { flag: "port", type: "number", help: "TCP port, 0 for any" },
      models: {
        flag: "models",
        type: "string",
        help: "Loaded models, separated by commas",
        defaultText: "small",
      },
      prefillTokensPerS: {
        flag: "prefill-tokens-per-s",
        type: "number",
        help: "Prompt tokens computed a second",
      },
      decodeBaseMs: {
        flag: "decode-base-ms",
        type: "number",
        help: "Time of a decoding step in ms",
      },
      decodePerSequenceMs: {
        flag: "decode-per-sequence-ms",
        type: "number",
        help: "Time that each sequence adds to a step in ms",
      },
      maxBatch: {
        flag: "max-batch",
        type: "number",
        help: "Sequences that run at once",
      },
      cacheTokens: {
        flag: "cache-tokens",
        type: "number",
        help: "Cache memory in tokens",
      },
      checksOrders: {
        flag: "checks-orders",
        type: "boolean",
        help: "Refuses orders with an old fencing number",
        defaultText: "true",
      },
      canResume: {
        flag: "can-resume",
        type: "boolean",
        help: "Can continue a stream that began elsewhere",
        defaultText: "true",
      },
      eventLagMs: {
        flag: "event-lag-ms",
        type: "number",
        help: "Time in ms until a cache event shows",
      },
      eventGapEvery: {
        flag: "event-gap-every",
        type: "number",
        help: "Drops each n-th cache event, 0 for none",
      },
      loadLagMs: {
        flag: "load-lag-ms",
        type: "number",
        help: "Age in ms of the load report",
      },
      weightStoreUrl: {
        flag: "weight-store-url",
        type: "string",
        help: "Where weights are fetched; empty for at once",
      },
    },
  });
}
