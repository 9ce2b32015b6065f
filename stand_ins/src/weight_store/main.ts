/**
 * Stand-in for the platform's weight store, from which engines fetch model
 * weights at a limited rate.
 *
 * @module
 */
import { readSettingsOrExit } from "@toucantrestle/settings";
import * as z from "zod";
import { createApp, sendJson } from "../http/app.ts";
import { TokenBucket } from "../http/token_bucket.ts";
import { serve } from "../http/serve.ts";

const settings = readSettingsOrExit({
  name: "stand-in-weight-store",
  summary: "Stand-in for the platform's weight store.",
  importMeta: import.meta,
  defs: {
    port: {
      flag: "port",
      type: "number",
      help: "TCP port; 0 picks a free port",
    },
    mbPerS: {
      flag: "mb-per-s",
      type: "number",
      help: "Total rate in MB/s, shared by all readers",
      defaultText: "4000",
    },
  },
  schema: z.object({
    port: z.number().int().default(0),
    mbPerS: z.number().positive().default(4_000),
  }),
});

const MB_PER_PART = 100;

const rateLimit = new TokenBucket(settings.mbPerS, Date.now());
let refused = 0;
let served = 0;

const app = createApp({
  "GET /v1/weights/:model/parts/:part": ({ res, params }) => {
    if (!rateLimit.take(Date.now(), MB_PER_PART)) {
      refused += 1;
      return sendJson(res, 429, {
        error: `rate limit of ${settings.mbPerS} MB/s exceeded`,
      });
    }
    served += 1;
    return { model: params["model"], mb: MB_PER_PART };
  },
  "GET /v1/rate": () => ({ mb_per_s: settings.mbPerS }),
  "GET /stats": () => ({ refused, served }),
  "GET /health": () => ({ ok: true }),
});

serve(app, settings.port);
