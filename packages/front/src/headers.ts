import type { Protocol, UpstreamRequestAttributes } from "./protocol.ts";

/** Hop-by-hop headers, which are not forwarded (RFC 9110 section 7.6.1). */
export const HOP_BY_HOP: ReadonlySet<string> = new Set([
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

/** Header with the last event that was received (HTML, server-sent events). */
const LAST_EVENT_ID = "last-event-id";

/** Returns the header names that `Connection` lists, in lower case. */
export function connectionHeaderNames(rawHeaders: string[]): Set<string> {
  const connectionNames = new Set<string>();
  for (let i = 0; i + 1 < rawHeaders.length; i += 2) {
    if (rawHeaders[i]?.toLowerCase() !== "connection") continue;
    for (const name of (rawHeaders[i + 1] ?? "").split(",")) {
      connectionNames.add(name.trim().toLowerCase());
    }
  }
  return connectionNames;
}

/** Builds the headers of an upstream request: the caller's and this front's. */
export function upstreamHeaders(
  opts: {
    rawHeaders: string[];
    protocol: Protocol;
    method: string;
    bodyBytes: number;
    attributes: UpstreamRequestAttributes;
    /** Whether the caller's key and claimed organisation are removed. */
    hidesIdentity: boolean;
    /** Id of the event after which to resume the stream. */
    resumeAfter: string | undefined;
  },
): string[] {
  const { rawHeaders, protocol, hidesIdentity, resumeAfter } = opts;
  const connectionNames = connectionHeaderNames(rawHeaders);
  const headers: string[] = [];
  for (let i = 0; i + 1 < rawHeaders.length; i += 2) {
    const name = (rawHeaders[i] as string).toLowerCase();
    if (HOP_BY_HOP.has(name) || name === "content-length") continue;
    if (connectionNames.has(name) || protocol.isReservedHeader(name)) continue;
    if (hidesIdentity && protocol.isIdentityHeader(name)) continue;
    if (name === LAST_EVENT_ID && resumeAfter !== undefined) continue;
    headers.push(rawHeaders[i] as string, rawHeaders[i + 1] as string);
  }
  const hasBody = opts.bodyBytes > 0 || opts.method !== "GET";
  if (hasBody) headers.push("Content-Length", String(opts.bodyBytes));
  headers.push(...protocol.formatUpstreamHeaders(opts.attributes));
  if (resumeAfter !== undefined) headers.push(LAST_EVENT_ID, resumeAfter);
  return headers;
}
