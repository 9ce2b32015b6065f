import type { Role } from "@toucantrestle/http";
import type { CellChange, EditRecord, Table } from "@toucantrestle/table";
import type { TimelineEvent, TimelineFilter } from "@toucantrestle/timeline";
import {
  type Problem,
  RequestError,
  toRequestError,
  toUpstreamError,
  UnavailableError,
} from "@toucantrestle/verdict";
import { Agent, type Dispatcher, request } from "undici";
import type {
  DaemonFaults,
  FleetStatus,
  KeyInfo,
  ProgramSummary,
} from "./api.ts";
import { OPERATOR_PREFIX } from "./routes.ts";

/** Request body of an edit. */
export interface EditInput {
  writeId: string;
  reason: string;
  changes: CellChange[];
  removals: string[];
}

/** Response to an accepted edit. */
export interface EditResponse {
  revision: number;
  warnings: string[];
}

const REQUEST_TIMEOUT_MS = 15_000;

/** Client for the operators' API of one daemon. */
export class OperatorClient {
  readonly #url: string;
  readonly #key: string;
  readonly #dispatcher: Dispatcher;

  constructor(
    opts: {
      /** Base URL of the daemon. */
      url: string;
      key: string;
      /** CA certificate for verifying the daemon, in PEM format. */
      ca?: string;
    },
  ) {
    this.#url = opts.url;
    this.#key = opts.key;
    this.#dispatcher = new Agent(
      opts.ca === undefined ? {} : { connect: { ca: opts.ca } },
    );
  }

  table(): Promise<Table> {
    return this.#call("GET", "/table");
  }

  edit(edit: EditInput): Promise<EditResponse> {
    return this.#call("POST", "/table/edits", edit);
  }

  async history(): Promise<EditRecord[]> {
    const body = await this.#call<{ edits: EditRecord[] }>(
      "GET",
      "/table/history",
    );
    return body.edits;
  }

  status(): Promise<FleetStatus> {
    return this.#call("GET", "/status");
  }

  async programs(): Promise<ProgramSummary[]> {
    const body = await this.#call<{ programs: ProgramSummary[] }>(
      "GET",
      "/programs",
    );
    return body.programs;
  }

  async timeline(filter: TimelineFilter): Promise<TimelineEvent[]> {
    const query = new URLSearchParams();
    if (filter.program !== undefined) query.set("program", filter.program);
    if (filter.request !== undefined) query.set("request", filter.request);
    if (filter.part !== undefined) query.set("part", filter.part);
    if (filter.sinceMs !== undefined) {
      query.set("since_ms", String(filter.sinceMs));
    }
    const body = await this.#call<{ events: TimelineEvent[] }>(
      "GET",
      `/timeline?${query}`,
    );
    return body.events;
  }

  async keys(): Promise<KeyInfo[]> {
    return (await this.#call<{ keys: KeyInfo[] }>("GET", "/keys")).keys;
  }

  /** Creates a key and returns the secret. */
  async createKey(name: string, role: Role): Promise<string> {
    const body = { name, role };
    return (await this.#call<{ key: string }>("POST", "/keys", body)).key;
  }

  async revokeKey(id: string): Promise<number> {
    const path = `/keys/${encodeURIComponent(id)}/revoke`;
    return (await this.#call<{ revoked: number }>("POST", path)).revoked;
  }

  async drain(): Promise<void> {
    await this.#call("POST", "/drain");
  }

  async setFaults(faults: DaemonFaults): Promise<void> {
    await this.#call("POST", "/faults", faults);
  }

  /** Closes all connections. */
  async close(): Promise<void> {
    await this.#dispatcher.destroy();
  }

  async #call<T>(
    method: "GET" | "POST",
    path: string,
    body?: unknown,
  ): Promise<T> {
    try {
      const res = await request(this.#url + OPERATOR_PREFIX + path, {
        method,
        headers: {
          authorization: `Bearer ${this.#key}`,
          "content-type": "application/json",
        },
        body: body === undefined ? null : JSON.stringify(body),
        dispatcher: this.#dispatcher,
        signal: AbortSignal.timeout(REQUEST_TIMEOUT_MS),
      });
      const text = await res.body.text();
      if (res.statusCode === 200) return JSON.parse(text) as T;
      throw parseErrorResponse(res.statusCode, text);
    } catch (err) {
      if (err instanceof RequestError) throw err;
      throw toUpstreamError(this.#url, err);
    }
  }
}

function parseErrorResponse(status: number, text: string): RequestError {
  try {
    return toRequestError(JSON.parse(text) as Problem);
  } catch {
    return new UnavailableError(
      `the daemon responded with HTTP status ${status}`,
    );
  }
}
