import type { AnswerHead } from "@toucantrestle/upstream_channel";
import type { Protocol, UpstreamRequestAttributes } from "./protocol.ts";

/** Headers that concern one connection only, RFC 9110 section 7.6.1. */
const HOP_BY_HOP = new Set([
  "connection",
  "keep-alive",
  "proxy-connection",
  "proxy-authenticate",
  "proxy-authorization",
  "te",
  "trailer",
  "transfer-encoding",
  "upgrade",
  "expect",
]);

/** Names the event after which a stream goes on (HTML, server-sent events). */
const LAST_EVENT_ID = "last-event-id";

/** Names that a `Connection` header lists, in lower case. */
function connectionHeaderNames(rawHeaders: string[]): Set<string> {
  const connectionNames = new Set<string>();
  for (let i = 0; i + 1 < rawHeaders.length; i += 2) {
    if (rawHeaders[i]?.toLowerCase() !== "connection") continue;
    for (const name of (rawHeaders[i + 1] ?? "").split(",")) {
      connectionNames.add(name.trim().toLowerCase());
    }
  }
  return connectionNames;
}

/** Headers of a request to an upstream: the caller's and this process's. */
export function upstreamHeaders(
  opts: {
    rawHeaders: string[];
    protocol: Protocol;
    method: string;
    bodyBytes: number;
    attributes: UpstreamRequestAttributes;
    /** Event after which a stream is to go on. */
    resumeAfter: string | undefined;
  },
): string[] {
  const { rawHeaders, protocol, resumeAfter } = opts;
  const connectionNames = connectionHeaderNames(rawHeaders);
  const headers: string[] = [];
  for (let i = 0; i + 1 < rawHeaders.length; i += 2) {
    const name = (rawHeaders[i] as string).toLowerCase();
    if (HOP_BY_HOP.has(name) || name === "content-length") continue;
    if (connectionNames.has(name) || protocol.isReserved(name)) continue;
    if (name === LAST_EVENT_ID && resumeAfter !== undefined) continue;
    headers.push(rawHeaders[i] as string, rawHeaders[i + 1] as string);
  }
  const hasBody = opts.bodyBytes > 0 || opts.method !== "GET";
  if (hasBody) headers.push("Content-Length", String(opts.bodyBytes));
  headers.push(...protocol.marks(opts.attributes));
  if (resumeAfter !== undefined) headers.push(LAST_EVENT_ID, resumeAfter);
  return headers;
}

/** Headers of an answer to a caller. */
export function responseHeaders(head: AnswerHead, isStream: boolean): string[] {
  const connectionNames = connectionHeaderNames(head.rawHeaders);
  const headers: string[] = [];
  for (let i = 0; i + 1 < head.rawHeaders.length; i += 2) {
    const name = (head.rawHeaders[i] as string).toLowerCase();
    if (HOP_BY_HOP.has(name) || connectionNames.has(name)) continue;
    // The end of a stream is marked by its last chunk, which may be held.
    if (isStream && name === "content-length") continue;
    headers.push(
      head.rawHeaders[i] as string,
      head.rawHeaders[i + 1] as string,
    );
  }
  return headers;
}
