import { DEFAULT_TAIL_COPIES } from "@toucantrestle/membership";
import { readSettingsOrExit, type SettingDefs } from "@toucantrestle/settings";
import * as z from "zod";

const address = z.string().regex(
  /^[\w.:[\]-]+:\d{1,5}$/,
  "must have the form host:port",
).refine(
  (text) => URL.canParse(`tcp://${text}`),
  "must be a host with a port up to 65535",
);
const url = z.string().regex(/^https?:\/\//, "must be an http or https URL")
  .refine((text) => URL.canParse(text), "must name a host");
const nameSchema = z.string().regex(
  /^[\w.-]{1,60}$/,
  "must be 1 to 60 letters, digits, dots, dashes or underscores",
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
    help: "Name of the data centre in which this host runs",
  },
  listen: {
    flag: "listen",
    type: "string",
    help:
      "host:port on which to listen for HTTP requests of callers and operators",
  },
  advertise: {
    flag: "advertise",
    type: "string",
    help: "host:port that is advertised to callers",
    defaultText: "value of --listen",
  },
  siblingListen: {
    flag: "sibling-listen",
    type: "string",
    help:
      "host:port on which to listen for sibling daemons; also advertised to them",
  },
  storeUrl: {
    flag: "store-url",
    type: "string",
    help: "Base URL of the platform's key-value service",
  },
  hostListUrl: {
    flag: "host-list-url",
    type: "string",
    help: "Base URL of the platform's host list service",
    defaultText: "none",
  },
  siblingKey: {
    flag: "sibling-key",
    type: "string",
    help:
      "Secret key with which daemons authenticate to each other; prefer the environment variable, since flags are visible in process lists",
  },
  bootstrapKey: {
    flag: "bootstrap-key",
    type: "string",
    help:
      "Operator key that is accepted without being stored, to create the first keys",
    defaultText: "none",
  },
  siblings: {
    flag: "siblings",
    type: "string",
    help:
      "Comma-separated host:port list of sibling daemons to dial until the cluster state has been read from the key-value service",
    defaultText: "none",
  },
  tailCopies: {
    flag: "tail-copies",
    type: "number",
    help:
      "Number of other daemons that hold a replica of the unflushed journal of a shard; with 0, records are committed only by a flush",
    defaultText: "3",
  },
  tailLimitMb: {
    flag: "tail-limit-mb",
    type: "number",
    help:
      "Memory limit in MB for replicas of the journal tails of other daemons",
    defaultText: "64",
  },
  flushMs: {
    flag: "flush-ms",
    type: "number",
    help:
      "Interval in ms between journal flushes to the key-value service; extended in large fleets",
    defaultText: "1000",
  },
  storeTimeoutMs: {
    flag: "store-timeout-ms",
    type: "number",
    help: "Timeout in ms of a call to the key-value service",
    defaultText: "1000",
  },
  leaseTtlS: {
    flag: "lease-ttl-s",
    type: "number",
    help:
      "Time to live in seconds of this daemon's lease in the key-value service; extended in large fleets",
    defaultText: "3",
  },
  maxBodyMb: {
    flag: "max-body-mb",
    type: "number",
    help: "Maximum size of an HTTP request body in MB",
    defaultText: "8",
  },
  dataFolder: {
    flag: "data-folder",
    type: "string",
    help: "Folder of the file to which timeline events are appended",
    defaultText: "none",
  },
  tlsCert: {
    flag: "tls-cert",
    type: "string",
    help: "TLS certificate file in PEM format; requires --tls-key",
    defaultText: "none (TLS disabled)",
  },
  tlsKey: {
    flag: "tls-key",
    type: "string",
    help: "File with the private key of the TLS certificate in PEM format",
  },
  tlsCa: {
    flag: "tls-ca",
    type: "string",
    help:
      "CA certificate file in PEM format; together with --tls-cert, enables mutual TLS on links between daemons",
  },
  statsd: {
    flag: "statsd",
    type: "string",
    help: "host:port of the StatsD server to which metrics are sent over UDP",
    defaultText: "none",
  },
  logFormat: {
    flag: "log-format",
    type: "string",
    help: "Log format: human or json",
    defaultText: "human",
  },
  logLevel: {
    flag: "log-level",
    type: "string",
    help: "Minimum log level: error, warn, info or debug",
    defaultText: "info",
  },
  allowFaults: {
    flag: "allow-faults",
    type: "boolean",
    help:
      "Enables the operator route for fault injection in tests; do not use in production",
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
