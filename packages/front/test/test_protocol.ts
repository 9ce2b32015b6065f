import {
  type OrganisationEntry,
  OrganisationIndex,
} from "@toucantrestle/organisations";
import type { RoutingConfig, UpstreamEntry } from "@toucantrestle/routing";
import type { IncomingHttpHeaders } from "node:http";
import type { ProcessQuery, Protocol } from "../src/mod.ts";

/** Protocol with simple header names and JSON entries, for tests. */
export const testProtocol: Protocol = {
  directoryPath: "/where",
  readyPath: "/ready",
  configKey: "config",
  upstreamPrefix: "upstreams/",
  parseHead(headers) {
    const id = text(headers, "x-id");
    if (!id) return undefined;
    return {
      id,
      timeLeftMs: number(headers, "x-time-left"),
      program: text(headers, "x-program"),
      session: undefined,
      programTimeLeftMs: undefined,
      tokenBudget: number(headers, "x-budget"),
      promptTokens: number(headers, "x-prompt-tokens"),
      maxOutputTokens: number(headers, "x-max-output"),
      expectedOutputTokens: undefined,
      promptParts: [],
      previousTurn: text(headers, "x-previous"),
      lastEventId: text(headers, "last-event-id"),
      resumedRequest: text(headers, "x-resumes"),
      affinityKey: undefined,
    };
  },
  parseKey: (headers) => text(headers, "x-key"),
  isReservedHeader: (name) => name === "x-time-left" || name === "x-upstream",
  isIdentityHeader: (name) => name === "x-key" || name === "x-organisation",
  formatUpstreamHeaders: (
    { timeLeftMs, upstreamId, urgency, organisation },
  ) => [
    "x-time-left",
    String(timeLeftMs),
    "x-upstream",
    upstreamId,
    ...(urgency === undefined ? [] : ["x-urgency", String(urgency)]),
    ...(organisation === undefined ? [] : ["x-organisation", organisation]),
  ],
  echoedRequestId: (head) => head.headers.get("x-id"),
  isDeclined: (head) => head.headers.has("x-not-run"),
  hasUpstreamMark: (head) => head.headers.has("x-mark"),
  parseNotice: ({ headers }) => ({
    maxRequestsPerS: parseNumber(headers.get("x-limit")),
    isLeaving: headers.has("x-leaving"),
  }),
  processQueries: [
    createQuery("/report", "startedAt"),
    createQuery("/epoch", "epoch"),
  ],
  formatDirectoryResponse: (response) => JSON.stringify(response),
  parseConfig(value, onInvalid) {
    const raw = JSON.parse(value);
    const { organisations } = (raw ?? {}) as {
      organisations?: OrganisationEntry[];
    };
    if (!organisations) return raw as RoutingConfig;
    try {
      return { ...raw, organisations: new OrganisationIndex(organisations) };
    } catch (err) {
      onInvalid?.(String(err));
      return undefined;
    }
  },
  parseUpstream(_key, value) {
    try {
      return JSON.parse(value) as UpstreamEntry;
    } catch {
      return undefined;
    }
  },
};

/** Creates a query for an object that names the process in one field. */
function createQuery(path: string, field: string): ProcessQuery {
  return {
    path,
    formatHeaders: () => [],
    parse(value) {
      try {
        const name = JSON.parse(value)[field];
        return { name: name === undefined ? undefined : String(name) };
      } catch {
        return undefined;
      }
    },
  };
}

function text(headers: IncomingHttpHeaders, name: string): string | undefined {
  return headers[name] as string | undefined;
}

function number(headers: IncomingHttpHeaders, name: string) {
  return parseNumber(text(headers, name));
}

function parseNumber(value: string | undefined) {
  return value === undefined ? undefined : Number(value);
}
