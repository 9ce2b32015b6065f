import type { IncomingMessage, ServerResponse } from "node:http";
import type { DirectoryResponse } from "./directory.ts";
import type { Protocol } from "./protocol.ts";
import { sendNotReady, sendText } from "./responses.ts";

/** Options of `serveAuxiliary`. */
export interface AuxiliaryOptions {
  protocol: Protocol;
  isReady: boolean;
  directory: () => DirectoryResponse;
}

/** Serves a readiness probe or a directory query. */
export function serveAuxiliary(
  req: IncomingMessage,
  res: ServerResponse,
  opts: AuxiliaryOptions,
): void {
  const { protocol, isReady } = opts;
  const path = (req.url ?? "/").split("?")[0];
  if (path === protocol.readyPath) {
    if (isReady) sendText(res, 200, "");
    else sendNotReady(res, "");
  } else if (path === protocol.directoryPath) sendDirectory(res, opts);
  else sendText(res, 404, "path not found");
}

function sendDirectory(
  res: ServerResponse,
  { protocol, directory }: AuxiliaryOptions,
): void {
  const response = directory();
  if (response.addresses.length === 0) {
    return sendNotReady(res, "no front is ready");
  }
  const body = protocol.formatDirectoryResponse(response);
  res.writeHead(200, {
    "content-type": "application/json",
    "content-length": String(Buffer.byteLength(body)),
  });
  res.end(body);
}
