import type { IncomingMessage } from "node:http";

/** Result of `readBody`. */
export type BodyResult =
  | { kind: "whole"; body: Buffer }
  | { kind: "too_large" }
  /** The caller disconnected before the body was complete. */
  | { kind: "cut" };

/** Reads the body of a request, up to `limit` bytes. */
export function readBody(
  req: IncomingMessage,
  limit: number,
): Promise<BodyResult> {
  const chunks: Buffer[] = [];
  let bytes = 0;
  return new Promise((resolve) => {
    req.on("data", (chunk: Buffer) => {
      bytes += chunk.length;
      if (bytes <= limit) chunks.push(chunk);
      else resolve({ kind: "too_large" });
    });
    req.on(
      "end",
      () => resolve({ kind: "whole", body: Buffer.concat(chunks) }),
    );
    req.on("close", () => resolve({ kind: "cut" }));
    req.on("error", () => resolve({ kind: "cut" }));
  });
}
