import type { ResponseHead } from "@toucantrestle/upstream_channel";
import type { ServerResponse } from "node:http";
import { connectionHeaders, endsConnection } from "./caller_connection.ts";
import { connectionHeaderNames, HOP_BY_HOP } from "./headers.ts";

/**
 * Lets the caller's connection end after a response, if only its end can mark
 * the end of the body. Returns false if requests wait behind the response.
 */
export function reserveEnd(
  res: ServerResponse,
  head: ResponseHead,
  { isEventStream }: { isEventStream: boolean },
): boolean {
  return !endsWithConnection(head, isEventStream) || endsConnection(res);
}

/**
 * Writes the head of an upstream's response to the caller. If only the end of
 * the upstream's connection marks the end of the body, the caller's response
 * has no other mark either: a length or chunks would state that the body is
 * complete, which this front cannot know. An event stream is always chunked,
 * because its events show whether it is complete.
 */
export function writeResponseHead(
  res: ServerResponse,
  head: ResponseHead,
  opts: {
    isEventStream: boolean;
    /** Whether the entire body is at hand. */
    isWhole: boolean;
  },
): void {
  const { isEventStream, isWhole } = opts;
  const headers = responseHeaders(head, isEventStream);
  if (endsWithConnection(head, isEventStream)) {
    res.removeHeader("transfer-encoding");
    headers.push("connection", "close");
  }
  const added = connectionHeaders(res, { isWhole });
  for (const name in added) headers.push(name, String(added[name]));
  res.writeHead(head.status, headers);
}

function endsWithConnection(
  head: ResponseHead,
  isEventStream: boolean,
): boolean {
  return head.bodyDelimiter === "close" && !isEventStream;
}

/** Builds the headers of the caller's response from those of the upstream's. */
function responseHeaders(
  head: ResponseHead,
  isEventStream: boolean,
): string[] {
  const connectionNames = connectionHeaderNames(head.rawHeaders);
  const headers: string[] = [];
  for (let i = 0; i + 1 < head.rawHeaders.length; i += 2) {
    const name = (head.rawHeaders[i] as string).toLowerCase();
    if (HOP_BY_HOP.has(name) || connectionNames.has(name)) continue;
    // The last chunk, which marks the end of a stream, may be withheld.
    if (isEventStream && name === "content-length") continue;
    headers.push(
      head.rawHeaders[i] as string,
      head.rawHeaders[i + 1] as string,
    );
  }
  return headers;
}
