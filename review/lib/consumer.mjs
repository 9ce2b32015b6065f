// Stand-in of a consumer: one request, each on a new channel.
import { request } from "node:http";
import { randomBytes } from "node:crypto";

export function newId() {
  return randomBytes(8).toString("hex");
}

/** Sends a request and resolves with what came back. `status` 0: no head. */
export function send(
  address,
  {
    method = "GET",
    path,
    host,
    headers = {},
    body,
    id = newId(),
    timeoutMs = 20_000,
    onData,
  },
) {
  const [ip, port] = address.split(":");
  return new Promise((resolve) => {
    const answer = { id, status: 0, headers: {}, body: "", isComplete: false };
    const req = request({
      host: ip,
      port,
      method,
      path,
      agent: false,
      headers: {
        host,
        "request-id": id,
        connection: "close",
        ...headers,
        ...(body === undefined
          ? {}
          : { "content-length": Buffer.byteLength(body) }),
      },
    }, (res) => {
      answer.status = res.statusCode;
      answer.headers = res.headers;
      res.on("data", (chunk) => {
        answer.body += chunk;
        onData?.(answer, req);
      });
      res.on("error", () => {});
      res.on("close", () => resolve({ ...answer, isComplete: res.complete }));
    });
    req.setTimeout(timeoutMs, () => req.destroy());
    req.on("error", () => resolve(answer));
    req.end(body);
  });
}
