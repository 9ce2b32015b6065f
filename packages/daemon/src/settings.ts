import { DEFAULT_TAIL_COPIES } from "@toucantrestle/membership";
import { readSettingsOrExit, type SettingDefs } from "@toucantrestle/settings";
import * as z from "zod";

const address = z.string().regex(/^[\w.:[\]-]+:\d{1,5}$/, "must be host:port");
const url = z.string().regex(/^https?:\/\//, "must be an http or https URL");
const nameSchema = z.string().regex(
  /^[\w.-]{1,60}$/,
  "must be letters, digits, dots or dashes",
);

const schema = z.object({
  host: nameSchema,
  dataCentre: nameSchema,
  listen: address,
  advertise: address.optional(),
  siblingListen: address,
  storeUrl: url,
  hostListUrl: url.optional(),
  siblingKey: z.string().min(8, "must have at least 8 characters"),
  bootstrapKey: z.string().min(8, "must have at least 8 characters")
    .optional(),
  siblings: z.string().default(""),
  tailCopies: z.number().int().min(0).max(5).default(DEFAULT_TAIL_COPIES),
  tailLimitMb: z.number().positive().max(200).default(64),
  flushMs: z.number().int().min(10).max(60_000).default(1_000),
  storeTimeoutMs: z.number().int().min(10).max(60_000).default(1_000),
  leaseTtlS: z.number().int().min(1).max(600).default(3),
  maxBodyMb: z.number().positive().max(100).default(8),
  dataFolder: z.string().optional(),
  tlsCert: z.string().optional(),
  tlsKey: z.string().optional(),
  tlsCa: z.string().optional(),
  statsd: address.optional(),
  logFormat: z.enum(["human", "json"]).default("human"),
  logLevel: z.enum(["error", "warn", "info", "debug"]).default("info"),
  allowFaults: z.boolean().default(false),
});

/** Settings of the daemon. */
export type DaemonSettings = z.infer<typeof schema>;

/** Definitions of all settings, as listed by `--help` and the reference in docs/. */
export const DAEMON_SETTINGS: SettingDefs<DaemonSettings> = {
  host: { flag: "host", type: "string", help: "Name of this host" },
  dataCentre: {
    flag: "data-centre",
    type: "string",
    help: "Data centre it stands in",
  },
  listen: {
    flag: "listen",
    type: "string",
    help: "host:port for callers and operators",
  },
  advertise: {
    flag: "advertise",
    type: "string",
    help: "host:port that callers are told",
    defaultText: "as --listen",
  },
  siblingListen: {
    flag: "sibling-listen",
    type: "string",
    help: "host:port for other daemons",
  },
  storeUrl: {
    flag: "store-url",
    type: "string",
    help: "URL of the platform's key-value service",
  },
  hostListUrl: {
    flag: "host-list-url",
    type: "string",
    help: "URL of the platform's host list",
    defaultText: "none",
  },
  siblingKey: {
    flag: "sibling-key",
    type: "string",
    help: "Key that daemons show each other; better as variable",
  },
  bootstrapKey: {
    flag: "bootstrap-key",
    type: "string",
    help: "Operator key that is accepted before any is created",
    defaultText: "none",
  },
  siblings: {
    flag: "siblings",
    type: "string",
    help: "host:port list to join by while the service is down",
    defaultText: "none",
  },
  tailCopies: {
    flag: "tail-copies",
    type: "number",
    help: "Holders of the unflushed journal; 0 waits for each flush",
    defaultText: "3",
  },
  tailLimitMb: {
    flag: "tail-limit-mb",
    type: "number",
    help: "Memory in MB for other owners' journal tails",
    defaultText: "64",
  },
  flushMs: {
    flag: "flush-ms",
    type: "number",
    help: "Interval in ms of flushes to the service",
    defaultText: "1000",
  },
  storeTimeoutMs: {
    flag: "store-timeout-ms",
    type: "number",
    help: "Time in ms after which a service call is unanswered",
    defaultText: "1000",
  },
  leaseTtlS: {
    flag: "lease-ttl-s",
    type: "number",
    help: "Time to live of this daemon's lease in s",
    defaultText: "3",
  },
  maxBodyMb: {
    flag: "max-body-mb",
    type: "number",
    help: "Largest request body in MB",
    defaultText: "8",
  },
  dataFolder: {
    flag: "data-folder",
    type: "string",
    help: "Folder for the time line file",
    defaultText: "none",
  },
  tlsCert: {
    flag: "tls-cert",
    type: "string",
    help: "Certificate file in PEM form",
    defaultText: "no TLS",
  },
  tlsKey: { flag: "tls-key", type: "string", help: "Key file in PEM form" },
  tlsCa: {
    flag: "tls-ca",
    type: "string",
    help: "Authority file for links between daemons",
  },
  statsd: {
    flag: "statsd",
    type: "string",
    help: "host:port for metrics",
    defaultText: "none",
  },
  logFormat: {
    flag: "log-format",
    type: "string",
    help: "human or json",
    defaultText: "human",
  },
  logLevel: {
    flag: "log-level",
    type: "string",
    help: "error, warn, info or debug",
    defaultText: "info",
  },
  allowFaults: {
    flag: "allow-faults",
    type: "boolean",
    help: "Serves fault switches for tests; never in production",
    defaultText: "false",
  },
};

/** Reads the settings; exits with status 2 if they are invalid. */
export function readDaemonSettings(importMeta: ImportMeta): DaemonSettings {
  return readSettingsOrExit({
    name: "toucantrestled",
    summary: "Scheduler daemon for agent programs.",
    defs: DAEMON_SETTINGS,
    schema,
    importMeta,
  });
}
