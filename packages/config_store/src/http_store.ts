import {
  type CollectedResponse,
  collectResponse,
  MemoryHolders,
  parseJsonText,
} from "@toucantrestle/memory";
import type { Subscription } from "@toucantrestle/timer";
import type { Verdict } from "@toucantrestle/verdict";
import { setTimeout as sleep } from "node:timers/promises";
import { Client, type Dispatcher, errors } from "undici";
import { StoreError } from "./errors.ts";
import { LineReader } from "./line_reader.ts";
import type {
  Compare,
  ConfigStore,
  KeyRange,
  Listing,
  Put,
  StoreItem,
  Txn,
  TxnResult,
  WatchEndReason,
  WatchHandlers,
} from "./store.ts";
import {
  encode,
  prefixEnd,
  toStoreEvents,
  toStoreItem,
  type WireRange,
  type WireTxn,
  type WireWatch,
} from "./wire.ts";

/** Options of the client. */
export interface HttpStoreOptions {
  /** Base URL, for instance `http://127.0.0.1:2379`. */
  url: string;
  /** Time after which a call fails without a response, in ms. */
  timeoutMs: number;
  /** Fault injection: while it returns true, calls and watches fail. */
  isCut?: () => boolean;
  /** Where responses are counted while they arrive. */
  holders?: MemoryHolders;
}

/** Bounds of one call. */
interface CallOptions {
  maxBytes?: number;
  timeoutMs?: number;
}

/** Interval at which a watch is compared with the service. */
const WATCH_CHECK_INTERVAL_MS = 1_000;
const WATCH_CHECK_TIMEOUT_MS = 700;
/** Time for an event that is on its way when the service has a newer key. */
const EVENT_DELAY_MS = 300;
/** Largest list of keys with their values. */
const MAX_LIST_BYTES = 32_000_000;
/** Largest response with few keys. */
const MAX_SHORT_BYTES = 8_000_000;
/** Longest line of a watch. */
const MAX_WATCH_LINE_BYTES = 8_000_000;
/** Most values of one response or line; a key with its value has some ten. */
const MAX_VALUES = 1_000_000;
const CONNECTION_COUNT = 4;
const REQUESTS_PER_CONNECTION = 1;

/** Client of the platform's key-value service over its HTTP/JSON protocol. */
export class HttpStore implements ConfigStore {
  readonly #opts: HttpStoreOptions;
  readonly #clients: Client[];
  readonly #holders: MemoryHolders;
  #nextClient = 0;

  constructor(opts: HttpStoreOptions) {
    this.#opts = opts;
    this.#holders = opts.holders ?? new MemoryHolders();
    this.#clients = Array.from(
      { length: CONNECTION_COUNT },
      () => new Client(opts.url, { pipelining: REQUESTS_PER_CONNECTION }),
    );
  }

  async get(key: string): Promise<StoreItem | undefined> {
    const range = await this.#call<WireRange>("/v3/kv/range", {
      key: encode(key),
    });
    const kv = range.kvs?.[0];
    return kv && toStoreItem(kv);
  }

  async list(prefix: string, from?: string): Promise<Listing> {
    const range = await this.#call<WireRange>("/v3/kv/range", {
      key: encode(from ?? prefix),
      range_end: encode(prefixEnd(prefix)),
    }, { maxBytes: MAX_LIST_BYTES });
    return {
      items: (range.kvs ?? []).map(toStoreItem),
      revision: Number(range.header?.revision ?? 0),
    };
  }

  async txn(txn: Txn): Promise<TxnResult> {
    const response = await this.#call<WireTxn>("/v3/kv/txn", {
      compare: txn.compares.map(toWireCompare),
      success: [...txn.deletes.map(toWireDelete), ...txn.puts.map(toWirePut)],
      failure: txn.compares.map((it) => ({
        request_range: { key: encode(it.key) },
      })),
    });
    const succeeded = response.succeeded === true;
    const kvs = (response.responses ?? [])
      .flatMap((it) => it.response_range?.kvs ?? []);
    return {
      succeeded,
      revision: Number(response.header?.revision ?? 0),
      current: succeeded ? [] : kvs.map(toStoreItem),
    };
  }

  async grantLease(ttlS: number): Promise<string> {
    const response = await this.#call<{ ID: string }>("/v3/lease/grant", {
      TTL: String(ttlS),
    });
    return response.ID;
  }

  async renewLease(lease: string): Promise<boolean> {
    const response = await this.#call<{ result?: { TTL?: string } }>(
      "/v3/lease/keepalive",
      { ID: lease },
    );
    return Number(response.result?.TTL ?? 0) > 0;
  }

  async revokeLease(lease: string): Promise<void> {
    await this.#call("/v3/lease/revoke", { ID: lease });
  }

  watch(
    prefix: string,
    opts: { fromRevision: number; handlers: WatchHandlers },
  ): Subscription {
    const abort = new AbortController();
    const position = { revision: opts.fromRevision - 1 };
    const handlers: WatchHandlers = {
      ...opts.handlers,
      onEvents(events, revision) {
        position.revision = Math.max(position.revision, revision);
        opts.handlers.onEvents(events, revision);
      },
    };
    this.#checkWatch(prefix, position, abort);
    this.#runWatch(prefix, { ...opts, handlers }, abort.signal)
      .catch((): WatchEndReason => "lost")
      .then((reason) => {
        abort.abort();
        opts.handlers.onEnd(reason);
      });
    return { cancel: () => abort.abort() };
  }

  /**
   * Ends a watch that is silent although the service has newer keys or cannot
   * be reached.
   */
  async #checkWatch(
    prefix: string,
    position: { revision: number },
    watch: AbortController,
  ): Promise<void> {
    const { signal } = watch;
    while (await sleepUnlessAborted(WATCH_CHECK_INTERVAL_MS, signal)) {
      const { revision } = position;
      try {
        if (!await this.#hasKeyAfter(prefix, revision)) continue;
        await sleepUnlessAborted(EVENT_DELAY_MS, signal);
        if (position.revision === revision) watch.abort();
      } catch (err) {
        // A refusal shows that the service is reached.
        if (verdictOf(err) !== "not_run") watch.abort();
      }
    }
  }

  /** Whether a key below a prefix was written after a revision. */
  async #hasKeyAfter(prefix: string, revision: number): Promise<boolean> {
    const range = await this.#call<WireRange>("/v3/kv/range", {
      key: encode(prefix),
      range_end: encode(prefixEnd(prefix)),
      min_mod_revision: String(revision + 1),
      keys_only: true,
      limit: "1",
    }, { timeoutMs: WATCH_CHECK_TIMEOUT_MS });
    return (range.kvs ?? []).length > 0;
  }

  /** Closes all connections; pending calls fail. */
  async close(): Promise<void> {
    await Promise.all(this.#clients.map((client) => client.destroy()));
  }

  async #runWatch(
    prefix: string,
    opts: { fromRevision: number; handlers: WatchHandlers },
    signal: AbortSignal,
  ): Promise<WatchEndReason> {
    const client = new Client(this.#opts.url, { bodyTimeout: 0 });
    try {
      const res = await client.request({
        path: "/v3/watch",
        method: "POST",
        headers: { "content-type": "application/json" },
        body: JSON.stringify({
          create_request: {
            key: encode(prefix),
            range_end: encode(prefixEnd(prefix)),
            start_revision: String(opts.fromRevision),
          },
        }),
        signal,
      });
      return await this.#readWatch(res, opts.handlers);
    } finally {
      await client.destroy();
    }
  }

  async #readWatch(
    res: Dispatcher.ResponseData,
    handlers: WatchHandlers,
  ): Promise<WatchEndReason> {
    if (res.statusCode !== 200) return "lost";
    const reader = new LineReader({ maxBytes: MAX_WATCH_LINE_BYTES });
    const removeHolder = this.#holders.add({
      purpose: "store_responses",
      keptBytes: () => reader.keptBytes,
      cut: () => res.body.destroy(),
    });
    try {
      for await (const piece of res.body) {
        if (this.#opts.isCut?.()) return "lost";
        for (const line of reader.read(piece as Uint8Array)) {
          const reason = handleWatchLine(line, handlers);
          if (reason) return reason;
        }
      }
      return "lost";
    } finally {
      removeHolder();
    }
  }

  async #call<T>(
    path: string,
    body: unknown,
    opts: CallOptions = {},
  ): Promise<T> {
    if (this.#opts.isCut?.()) {
      throw new StoreError(
        "connection to the key-value service is cut by fault injection",
        {
          props: { verdict: "not_run" as Verdict },
        },
      );
    }
    const client = this
      .#clients[this.#nextClient++ % CONNECTION_COUNT] as Client;
    try {
      const res = await this.#collect(client, {
        path,
        method: "POST",
        headers: { "content-type": "application/json" },
        body: JSON.stringify(body),
      }, opts);
      if (res.status === 200) return parse(res.text) as T;
      throw new StoreError(
        `the key-value service returned status ${res.status}`,
        { props: { verdict: toVerdict(res.status) } },
      );
    } catch (err) {
      throw toStoreError(err);
    }
  }

  #collect(
    client: Client,
    req: Dispatcher.DispatchOptions,
    { maxBytes = MAX_SHORT_BYTES, timeoutMs = this.#opts.timeoutMs }:
      CallOptions,
  ): Promise<CollectedResponse> {
    return collectResponse({
      maxBytes,
      purpose: "store_responses",
      signal: AbortSignal.timeout(timeoutMs),
      holders: this.#holders,
    }, (handler) => client.dispatch(req, handler));
  }
}

function parse(text: string): unknown {
  return parseJsonText(text, { maxValues: MAX_VALUES });
}

/** Waits; returns false if the signal is aborted by then. */
async function sleepUnlessAborted(
  ms: number,
  signal: AbortSignal,
): Promise<boolean> {
  await sleep(ms, undefined, { signal, ref: false }).catch(() => {});
  return !signal.aborted;
}

/** Handles one line of a watch; returns why the watch has ended, if it has. */
function handleWatchLine(
  line: string,
  handlers: WatchHandlers,
): WatchEndReason | undefined {
  if (line.trim() === "") return undefined;
  const parsed = parse(line) as WireWatch;
  if (parsed.result?.canceled) {
    return parsed.result.compact_revision === undefined ? "lost" : "compacted";
  }
  const events = toStoreEvents(parsed);
  if (events.length === 0) return undefined;
  const revision = Number(parsed.result?.header?.revision ?? 0);
  handlers.onEvents(events, revision);
  return undefined;
}

/** With status 429 (rate limit) or 503 (unavailable), the call did not run. */
function toVerdict(status: number): Verdict {
  return status === 429 || status === 503 ? "not_run" : "may_have_run";
}

function verdictOf(err: unknown): Verdict | undefined {
  return err instanceof StoreError ? err.verdict : undefined;
}

function toStoreError(err: unknown): StoreError {
  if (err instanceof StoreError) return err;
  const isRefused = err instanceof Error &&
    (err as NodeJS.ErrnoException).code === "ECONNREFUSED";
  const isUnsent = isRefused || err instanceof errors.ConnectTimeoutError;
  const verdict: Verdict = isUnsent ? "not_run" : "may_have_run";
  return new StoreError("no response from the key-value service", {
    props: { verdict },
  });
}

function toWireCompare(compare: Compare) {
  return {
    key: encode(compare.key),
    target: "MOD",
    result: "EQUAL",
    mod_revision: String(compare.modRevision),
  };
}

function toWirePut(put: Put) {
  return {
    request_put: {
      key: encode(put.key),
      value: encode(put.value),
      ...(put.lease === undefined ? {} : { lease: put.lease }),
    },
  };
}

function toWireDelete(range: KeyRange) {
  return {
    request_delete_range: {
      key: encode(range.from),
      range_end: encode(range.to),
    },
  };
}
