import type { Subscription } from "@toucantrestle/timer";
import type { Verdict } from "@toucantrestle/verdict";
import { setTimeout as sleep } from "node:timers/promises";
import { Client, type Dispatcher, errors } from "undici";
import { StoreError } from "./errors.ts";
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
}

/** Interval at which a watch is compared with the service. */
const WATCH_CHECK_INTERVAL_MS = 1_000;
const WATCH_CHECK_TIMEOUT_MS = 700;
/** Time for an event that is on its way when the service has a newer key. */
const EVENT_DELAY_MS = 300;
const MAX_RESPONSE_BYTES = 32_000_000;
/** Longest line of a watch, in characters. */
const MAX_WATCH_LINE_LENGTH = 8_000_000;
const CONNECTION_COUNT = 4;
const REQUESTS_PER_CONNECTION = 1;

/** Client of the platform's key-value service over its HTTP/JSON protocol. */
export class HttpStore implements ConfigStore {
  readonly #opts: HttpStoreOptions;
  readonly #clients: Client[];
  #nextClient = 0;

  constructor(opts: HttpStoreOptions) {
    this.#opts = opts;
    this.#clients = Array.from(
      { length: CONNECTION_COUNT },
      () =>
        new Client(opts.url, {
          pipelining: REQUESTS_PER_CONNECTION,
          maxResponseSize: MAX_RESPONSE_BYTES,
        }),
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
    });
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
    }, WATCH_CHECK_TIMEOUT_MS);
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
    let partialLine = "";
    for await (const chunk of res.body.setEncoding("utf8")) {
      if (this.#opts.isCut?.()) return "lost";
      const text = String(chunk);
      const lines = text.split("\n");
      lines[0] = partialLine + lines[0];
      partialLine = lines.pop() ?? "";
      if (partialLine.length > MAX_WATCH_LINE_LENGTH) return "lost";
      for (const line of lines) {
        const reason = handleWatchLine(line, handlers);
        if (reason) return reason;
      }
    }
    return "lost";
  }

  async #call<T>(
    path: string,
    body: unknown,
    timeoutMs = this.#opts.timeoutMs,
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
      const res = await client.request({
        path,
        method: "POST",
        headers: { "content-type": "application/json" },
        body: JSON.stringify(body),
        signal: AbortSignal.timeout(timeoutMs),
      });
      const text = await res.body.text();
      if (res.statusCode === 200) return JSON.parse(text) as T;
      throw new StoreError(
        `the key-value service returned status ${res.statusCode}`,
        { props: { verdict: toVerdict(res.statusCode) } },
      );
    } catch (err) {
      throw toStoreError(err);
    }
  }
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
  const parsed = JSON.parse(line) as WireWatch;
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
