/**
 * Stand-in for the platform's list of live and leaving hosts. Changes become
 * visible after a configurable lag.
 *
 * @module
 */
import { readSettingsOrExit } from "@toucantrestle/settings";
import * as z from "zod";
import { createApp } from "../http/app.ts";
import { serve } from "../http/serve.ts";

const settings = readSettingsOrExit({
  name: "stand-in-host-list",
  summary: "Stand-in for the platform's host list.",
  importMeta: import.meta,
  defs: {
    port: {
      flag: "port",
      type: "number",
      help: "TCP port; 0 picks a free port",
    },
    lagMs: {
      flag: "lag-ms",
      type: "number",
      help: "Delay in ms until a change becomes visible",
      defaultText: "300",
    },
  },
  schema: z.object({
    port: z.number().int().default(0),
    lagMs: z.number().min(0).default(300),
  }),
});

const hostSchema = z.object({
  name: z.string(),
  kind: z.enum(["entry", "engine", "service"]),
  state: z.enum(["live", "leaving"]),
  dataCentre: z.string(),
  siblingAddress: z.string().optional(),
});

type Host = z.infer<typeof hostSchema>;

const hosts = new Map<string, Host>();

function setHosts(body: unknown) {
  const changed = z.object({ hosts: z.array(hostSchema) }).parse(body).hosts;
  setTimeout(() => {
    for (const host of changed) hosts.set(host.name, host);
  }, settings.lagMs);
  return { ok: true };
}

const app = createApp({
  "GET /v1/hosts": () => ({ hosts: [...hosts.values()] }),
  "POST /hosts": ({ body }) => setHosts(body),
  "GET /health": () => ({ ok: true }),
});

serve(app, settings.port);
