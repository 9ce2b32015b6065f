import type { ResponseSink } from "@toucantrestle/sibling";
import type { ServerResponse } from "node:http";

/**
 * Unread bytes of a response at which its caller is cut off, besides those of
 * larger pieces. The response is recorded whole, and sent again for the same
 * request id: in one large piece and some small ones.
 */
const MAX_UNREAD_BYTES = 4_000_000;

/**
 * Creates a sink that writes a response to a caller's connection. Writes to a
 * closed connection are ignored; one whose caller does not read is closed.
 */
export function createHttpSink(res: ServerResponse): ResponseSink {
  let maxUnreadBytes = MAX_UNREAD_BYTES;
  return {
    get hasStarted() {
      return res.headersSent;
    },
    head({ status, contentType, endsWithConnection }) {
      if (res.headersSent) return;
      // Without chunks the response does not state that its body is complete.
      if (endsWithConnection) {
        res.removeHeader("transfer-encoding");
        res.setHeader("connection", "close");
      }
      res.writeHead(status, { "content-type": contentType });
    },
    data(text) {
      if (res.destroyed) return;
      if (res.writableLength > maxUnreadBytes) {
        res.destroy();
        return;
      }
      res.write(text);
      if (text.length <= MAX_UNREAD_BYTES) return;
      maxUnreadBytes = MAX_UNREAD_BYTES + res.writableLength;
    },
    end() {
      res.end();
    },
  };
}
