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
  softwareVersion: z.string().default("1"),
  eventLagMs: z.number().min(0).default(200),
  eventGapEvery: z.number().int().min(0).default(0),
  loadLagMs: z.number().min(0).default(200),
  weightStoreUrl: z.string().default(""),
});

/** Settings of the engine stand-in. */
export type EngineSettings = z.infer<typeof schema>;

/** Reads the settings; exits the process with status 2 if they are invalid. */
export function readEngineSettings(importMeta: ImportMeta): EngineSettings {
  return readSettingsOrExit({
    name: "stand-in-engine",
    summary: "Stand-in for a model engine.",
    importMeta,
    schema,
    defs: {
      port: {
        flag: "port",
        type: "number",
        help: "TCP port; 0 picks a free port",
      },
      models: {
        flag: "models",
        type: "string",
        help: "Comma-separated list of models that are loaded at start",
        defaultText: "small",
      },
      prefillTokensPerS: {
        flag: "prefill-tokens-per-s",
        type: "number",
        help: "Prompt tokens computed per second",
      },
      decodeBaseMs: {
        flag: "decode-base-ms",
        type: "number",
        help: "Base duration of a decoding step in ms",
      },
      decodePerSequenceMs: {
        flag: "decode-per-sequence-ms",
        type: "number",
        help: "Duration in ms that each sequence adds to a decoding step",
      },
      maxBatch: {
        flag: "max-batch",
        type: "number",
        help: "Maximum number of sequences that run concurrently",
      },
      cacheTokens: {
        flag: "cache-tokens",
        type: "number",
        help: "Capacity of the prefix cache in tokens",
      },
      checksOrders: {
        flag: "checks-orders",
        type: "boolean",
        help: "Whether orders with a stale fencing token are rejected",
        defaultText: "true",
      },
      canResume: {
        flag: "can-resume",
        type: "boolean",
        help:
          "Whether the engine can resume a stream that another engine started",
        defaultText: "true",
      },
      softwareVersion: {
        flag: "software-version",
        type: "string",
        help: "Version of its software in load reports; empty reports none",
        defaultText: "1",
      },
      eventLagMs: {
        flag: "event-lag-ms",
        type: "number",
        help: "Delay in ms until a cache event becomes visible",
      },
      eventGapEvery: {
        flag: "event-gap-every",
        type: "number",
        help: "Drops every n-th cache event; 0 drops none",
      },
      loadLagMs: {
        flag: "load-lag-ms",
        type: "number",
        help: "Age in ms of load reports",
      },
      weightStoreUrl: {
        flag: "weight-store-url",
        type: "string",
        help: "URL of the weight store; empty loads models immediately",
      },
    },
  });
}
