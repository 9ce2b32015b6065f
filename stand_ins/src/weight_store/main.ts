/**
 * Stand-in of the platform's weight store: engines fetch models from it at a
 * limited rate.
 *
 * @module
 */
import { readSettingsOrExit } from "@toucantrestle/settings";
import * as z from "zod";
import { createApp, sendJson } from "../http/app.ts";
import { RateLimit } from "../http/rate_limit.ts";
import { serve } from "../http/serve.ts";

const settings = readSettingsOrExit({
  name: "stand-in-weight-store",
  summary: "Stand-in of the platform's weight store.",
  importMeta: import.meta,
  defs: {
    port: { flag: "port", type: "number", help: "TCP port, 0 for any" },
    mbPerS: {
      flag: "mb-per-s",
      type: "number",
      help: "Rate in MB/s over all readers",
      defaultText: "4000",
    },
  },
  schema: z.object({
    port: z.number().int().default(0),
    mbPerS: z.number().positive().default(4_000),
  }),
});

const MB_PER_PART = 100;

const limit = new RateLimit(settings.mbPerS, Date.now());
let refused = 0;
let served = 0;

const app = createApp({
  "GET /v1/weights/:model/parts/:part": ({ res, params }) => {
    if (!limit.take(Date.now(), MB_PER_PART)) {
      refused += 1;
      return sendJson(res, 429, { error: "rate limit" });
    }
    served += 1;
    return { model: params["model"], mb: MB_PER_PART };
  },
  "GET /v1/rate": () => ({ mb_per_s: settings.mbPerS }),
  "GET /stats": () => ({ refused, served }),
  "GET /health": () => ({ ok: true }),
});

serve(app, settings.port);
