import type { ResponseSink } from "@toucantrestle/sibling";
import type { ServerResponse } from "node:http";

/**
 * Creates a sink that writes a response to a caller's connection. Writes to a
 * closed connection are ignored.
 */
export function createHttpSink(res: ServerResponse): ResponseSink {
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
      if (!res.destroyed) res.write(text);
    },
    end() {
      res.end();
    },
  };
}
