/**
 * Stand-in for the platform's key-value service. Implements the part of the
 * etcd v3 HTTP/JSON gateway that daemons use, with rate limits, leases, watches
 * and fault switches.
 *
 * @module
 */
import { readSettingsOrExit } from "@toucantrestle/settings";
import { Buffer } from "node:buffer";
import type { ServerResponse } from "node:http";
import * as z from "zod";
import {
  type AppHandler,
  type AppRequest,
  createApp,
  sendJson,
} from "../http/app.ts";
import { TokenBucket } from "../http/token_bucket.ts";
import { serve } from "../http/serve.ts";
import { type StoreChange, StoreModel } from "./store_model.ts";

const settings = readSettingsOrExit({
  name: "stand-in-config-store",
  summary: "Stand-in for the platform's key-value service.",
  importMeta: import.meta,
  defs: {
    port: {
      flag: "port",
      type: "number",
      help: "TCP port; 0 picks a free port",
    },
    readsPerS: {
      flag: "reads-per-s",
      type: "number",
      help: "Maximum reads per second; creating a watch counts as one read",
      defaultText: "2000",
    },
    writesPerS: {
      flag: "writes-per-s",
      type: "number",
      help: "Maximum writes per second",
      defaultText: "500",
    },
  },
  schema: z.object({
    port: z.number().int().default(0),
    readsPerS: z.number().positive().default(2_000),
    writesPerS: z.number().positive().default(500),
  }),
});

const faultsSchema = z.object({
  /** Rejects all calls and closes all watches. */
  down: z.boolean().optional(),
  /** Delay in ms before each response and watch event. */
  slowMs: z.number().optional(),
  /** Fraction of writes that are applied but whose response is dropped. */
  loseAnswerShare: z.number().optional(),
});

const EXPIRY_INTERVAL_MS = 100;
const MAX_VALUE_BYTES = 1_000_000;
const STATS_RETENTION_S = 600;

const model = new StoreModel();
const faults: z.infer<typeof faultsSchema> = {};
const reads = new TokenBucket(settings.readsPerS, Date.now());
const writes = new TokenBucket(settings.writesPerS, Date.now());
const watches = new Set<ServerResponse>();
const countersBySecond = new Map<number, CallCounters>();
let lossAccumulator = 0;

/** Calls received within one second of wall-clock time. */
interface CallCounters {
  second: number;
  reads: number;
  writes: number;
  refused: number;
}

type CallKind = "reads" | "writes";

setInterval(() => {
  if (!faults.down) model.expireLeases(Date.now());
}, EXPIRY_INTERVAL_MS);

function withRateLimit(kind: CallKind, handler: AppHandler): AppHandler {
  return async (input) => {
    const counters = currentCounters();
    counters[kind] += 1;
    if (faults.down) return sendJson(input.res, 503, { error: "down" });
    const bucket = kind === "reads" ? reads : writes;
    if (!bucket.take(Date.now())) {
      counters.refused += 1;
      return sendJson(input.res, 429, {
        error: `rate limit for ${kind} exceeded`,
      });
    }
    if (faults.slowMs) await delay(faults.slowMs);
    if (faults.down) return sendJson(input.res, 503, { error: "down" });
    const response = await handler(input);
    if (kind === "writes" && shouldDropResponse()) {
      input.res.destroy();
      return undefined;
    }
    return response;
  };
}

/**
 * Returns whether to drop the response of this write. Drops are spaced evenly
 * instead of at random, so that runs are repeatable.
 */
function shouldDropResponse(): boolean {
  const share = faults.loseAnswerShare ?? 0;
  if (share === 0) return false;
  lossAccumulator += share;
  if (lossAccumulator < 1) return false;
  lossAccumulator -= 1;
  return true;
}

function currentCounters(): CallCounters {
  const second = Math.floor(Date.now() / 1_000);
  let counters = countersBySecond.get(second);
  if (!counters) {
    counters = { second, reads: 0, writes: 0, refused: 0 };
    countersBySecond.set(second, counters);
    countersBySecond.delete(second - STATS_RETENTION_S);
  }
  return counters;
}

function responseHeader() {
  return { revision: String(model.revision) };
}

const rangeSchema = z.object({
  key: z.string(),
  range_end: z.string().optional(),
  min_mod_revision: z.string().optional(),
  keys_only: z.boolean().optional(),
  /** Maximum number of keys; 0 means no limit. */
  limit: z.string().optional(),
});

function range(body: unknown) {
  const { key, range_end, ...opts } = rangeSchema.parse(body);
  const entries = model.range(
    decodeBase64(key),
    range_end === undefined ? undefined : decodeBase64(range_end),
  );
  const minRevision = Number(opts.min_mod_revision ?? 0);
  const selected = entries
    .filter(([, it]) => it.modRevision >= minRevision)
    .slice(0, Number(opts.limit ?? 0) || undefined);
  return {
    header: responseHeader(),
    kvs: selected.map(([name, it]) => ({
      key: encodeBase64(name),
      value: opts.keys_only ? undefined : it.value,
      mod_revision: String(it.modRevision),
    })),
    count: String(entries.length),
  };
}

const operationSchema = z.object({
  request_put: z.object({
    key: z.string(),
    value: z.string().max(MAX_VALUE_BYTES * 4 / 3),
    lease: z.string().optional(),
  }).optional(),
  request_delete_range: rangeSchema.optional(),
  request_range: rangeSchema.optional(),
});

const txnSchema = z.object({
  compare: z.array(z.object({ key: z.string(), mod_revision: z.string() })),
  success: z.array(operationSchema).max(128),
  failure: z.array(operationSchema),
});

function txn(body: unknown) {
  const request = txnSchema.parse(body);
  const succeeded = request.compare.every((it) =>
    model.modRevision(decodeBase64(it.key)) === Number(it.mod_revision)
  );
  if (!succeeded) {
    const responses = request.failure.map((it) => ({
      response_range: range(it.request_range),
    }));
    return { header: responseHeader(), succeeded, responses };
  }
  const puts = request.success.flatMap((it) => it.request_put ?? []);
  const expired = puts.find((it) => it.lease && !model.hasLease(it.lease));
  if (expired) throw new Error("requested lease not found");
  const deletes = request.success.flatMap((it) =>
    it.request_delete_range ?? []
  );
  model.applyWrites(
    puts.map((it) => ({
      key: decodeBase64(it.key),
      value: it.value,
      lease: it.lease,
    })),
    deletes.map((it) => ({
      from: decodeBase64(it.key),
      to: it.range_end === undefined ? undefined : decodeBase64(it.range_end),
    })),
  );
  return { header: responseHeader(), succeeded, responses: [] };
}

const watchSchema = z.object({
  create_request: z.object({
    key: z.string(),
    range_end: z.string(),
    start_revision: z.string(),
  }),
});

function watch(input: AppRequest): undefined {
  const { create_request } = watchSchema.parse(input.body);
  const from = decodeBase64(create_request.key);
  const to = decodeBase64(create_request.range_end);
  const { res } = input;
  res.writeHead(200, { "content-type": "application/json" });
  writeLine(res, { result: { header: responseHeader(), created: true } });
  const unsubscribe = model.subscribe(
    Number(create_request.start_revision),
    (changes) => {
      const events = changes
        .filter((it) => it.key >= from && it.key < to)
        .map(toWatchEvent);
      if (events.length === 0) return;
      setTimeout(
        () => writeLine(res, { result: { header: responseHeader(), events } }),
        faults.slowMs ?? 0,
      );
    },
  );
  watches.add(res);
  res.on("close", () => {
    watches.delete(res);
    unsubscribe();
  });
}

function toWatchEvent(change: StoreChange) {
  return {
    type: change.type,
    kv: {
      key: encodeBase64(change.key),
      value: change.value,
      mod_revision: String(change.revision),
    },
  };
}

function writeLine(res: ServerResponse, line: unknown): void {
  if (!res.destroyed) res.write(JSON.stringify(line) + "\n");
}

function setFaults({ body }: AppRequest) {
  Object.assign(faults, faultsSchema.parse(body));
  if (faults.down) {
    for (const res of watches) res.destroy();
  }
  return faults;
}

function encodeBase64(text: string): string {
  return Buffer.from(text).toString("base64");
}

function decodeBase64(text: string): string {
  return Buffer.from(text, "base64").toString();
}

function delay(ms: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, ms));
}

const leaseSchema = z.object({ ID: z.string() });

const app = createApp({
  "POST /v3/kv/range": withRateLimit("reads", ({ body }) => range(body)),
  "POST /v3/kv/txn": withRateLimit("writes", ({ body }) => txn(body)),
  "POST /v3/lease/grant": withRateLimit("writes", ({ body }) => {
    const { TTL } = z.object({ TTL: z.string() }).parse(body);
    return { ID: model.grantLease(Number(TTL) * 1_000, Date.now()), TTL };
  }),
  "POST /v3/lease/keepalive": withRateLimit("writes", ({ body }) => {
    const { ID } = leaseSchema.parse(body);
    const ttlMs = model.renewLease(ID, Date.now());
    return { result: { ID, TTL: String(ttlMs / 1_000) } };
  }),
  "POST /v3/lease/revoke": withRateLimit("writes", ({ body }) => {
    model.revokeLease(leaseSchema.parse(body).ID);
    return { header: responseHeader() };
  }),
  "POST /v3/watch": withRateLimit("reads", watch),
  "GET /health": () => ({ ok: true }),
  "GET /stats": () => ({ seconds: [...countersBySecond.values()] }),
  "POST /faults": setFaults,
});

serve(app, settings.port);
