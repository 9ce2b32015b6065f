/**
 * Stand-in of the platform's key-value service: the HTTP/JSON gateway of
 * etcd v3 with rate limits, leases, watches and fault switches.
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
import { RateLimit } from "../http/rate_limit.ts";
import { serve } from "../http/serve.ts";
import { type StoreChange, StoreModel } from "./store_model.ts";

const settings = readSettingsOrExit({
  name: "stand-in-config-store",
  summary: "Stand-in of the platform's key-value service.",
  importMeta: import.meta,
  defs: {
    port: { flag: "port", type: "number", help: "TCP port, 0 for any" },
    readsPerS: {
      flag: "reads-per-s",
      type: "number",
      help: "Reads a second, a new watch counted as one",
      defaultText: "2000",
    },
    writesPerS: {
      flag: "writes-per-s",
      type: "number",
      help: "Writes a second",
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
  /** Refuses all calls and ends all watches. */
  down: z.boolean().optional(),
  /** Delay before each answer in ms. */
  slowMs: z.number().optional(),
  /** Share of writes that take effect and get no answer. */
  loseAnswerShare: z.number().optional(),
});

const EXPIRY_INTERVAL_MS = 100;
const MAX_VALUE_BYTES = 1_000_000;
const SECONDS_KEPT = 600;

const model = new StoreModel();
const faults: z.infer<typeof faultsSchema> = {};
const reads = new RateLimit(settings.readsPerS, Date.now());
const writes = new RateLimit(settings.writesPerS, Date.now());
const watches = new Set<ServerResponse>();
const callsBySecond = new Map<number, SecondCount>();
let lost = 0;

interface SecondCount {
  second: number;
  reads: number;
  writes: number;
  refused: number;
}

type CallKind = "reads" | "writes";

setInterval(() => {
  if (!faults.down) model.expire(Date.now());
}, EXPIRY_INTERVAL_MS);

function limited(kind: CallKind, handler: AppHandler): AppHandler {
  return async (input) => {
    const count = currentSecond();
    count[kind] += 1;
    if (faults.down) return sendJson(input.res, 503, { error: "down" });
    const limit = kind === "reads" ? reads : writes;
    if (!limit.take(Date.now())) {
      count.refused += 1;
      return sendJson(input.res, 429, { error: "rate limit" });
    }
    if (faults.slowMs) await delay(faults.slowMs);
    if (faults.down) return sendJson(input.res, 503, { error: "down" });
    const answer = await handler(input);
    if (kind === "writes" && isLost()) {
      input.res.destroy();
      return undefined;
    }
    return answer;
  };
}

/** Loses answers at an even share, so that a run can be repeated. */
function isLost(): boolean {
  const share = faults.loseAnswerShare ?? 0;
  if (share === 0) return false;
  lost += share;
  if (lost < 1) return false;
  lost -= 1;
  return true;
}

function currentSecond(): SecondCount {
  const second = Math.floor(Date.now() / 1_000);
  let count = callsBySecond.get(second);
  if (!count) {
    count = { second, reads: 0, writes: 0, refused: 0 };
    callsBySecond.set(second, count);
    callsBySecond.delete(second - SECONDS_KEPT);
  }
  return count;
}

function header() {
  return { revision: String(model.revision) };
}

const rangeSchema = z.object({
  key: z.string(),
  range_end: z.string().optional(),
});

function range(body: unknown) {
  const { key, range_end } = rangeSchema.parse(body);
  const found = model.range(
    decode(key),
    range_end === undefined ? undefined : decode(range_end),
  );
  return {
    header: header(),
    kvs: found.map(([name, it]) => ({
      key: encode(name),
      value: it.value,
      mod_revision: String(it.modRevision),
    })),
    count: String(found.length),
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
    model.modRevision(decode(it.key)) === Number(it.mod_revision)
  );
  if (!succeeded) {
    const responses = request.failure.map((it) => ({
      response_range: range(it.request_range),
    }));
    return { header: header(), succeeded, responses };
  }
  const puts = request.success.flatMap((it) => it.request_put ?? []);
  const lapsed = puts.find((it) => it.lease && !model.hasLease(it.lease));
  if (lapsed) throw new Error("requested lease not found");
  const deletes = request.success.flatMap((it) =>
    it.request_delete_range ?? []
  );
  model.write(
    puts.map((it) => ({
      key: decode(it.key),
      value: it.value,
      lease: it.lease,
    })),
    deletes.map((it) => ({
      from: decode(it.key),
      to: it.range_end === undefined ? undefined : decode(it.range_end),
    })),
  );
  return { header: header(), succeeded, responses: [] };
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
  const from = decode(create_request.key);
  const to = decode(create_request.range_end);
  const { res } = input;
  res.writeHead(200, { "content-type": "application/json" });
  writeLine(res, { result: { header: header(), created: true } });
  const unsubscribe = model.subscribe(
    Number(create_request.start_revision),
    (changes) => {
      const events = changes
        .filter((it) => it.key >= from && it.key < to)
        .map(wireEvent);
      if (events.length === 0) return;
      setTimeout(
        () => writeLine(res, { result: { header: header(), events } }),
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

function wireEvent(change: StoreChange) {
  return {
    type: change.type,
    kv: {
      key: encode(change.key),
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

function encode(text: string): string {
  return Buffer.from(text).toString("base64");
}

function decode(text: string): string {
  return Buffer.from(text, "base64").toString();
}

function delay(ms: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, ms));
}

const leaseSchema = z.object({ ID: z.string() });

const app = createApp({
  "POST /v3/kv/range": limited("reads", ({ body }) => range(body)),
  "POST /v3/kv/txn": limited("writes", ({ body }) => txn(body)),
  "POST /v3/lease/grant": limited("writes", ({ body }) => {
    const { TTL } = z.object({ TTL: z.string() }).parse(body);
    return { ID: model.grantLease(Number(TTL) * 1_000, Date.now()), TTL };
  }),
  "POST /v3/lease/keepalive": limited("writes", ({ body }) => {
    const { ID } = leaseSchema.parse(body);
    const ttlMs = model.keepLease(ID, Date.now());
    return { result: { ID, TTL: String(ttlMs / 1_000) } };
  }),
  "POST /v3/lease/revoke": limited("writes", ({ body }) => {
    model.revokeLease(leaseSchema.parse(body).ID);
    return { header: header() };
  }),
  "POST /v3/watch": limited("reads", watch),
  "GET /health": () => ({ ok: true }),
  "GET /stats": () => ({ seconds: [...callsBySecond.values()] }),
  "POST /faults": setFaults,
});

serve(app, settings.port);
