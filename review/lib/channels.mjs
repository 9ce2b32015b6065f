// Kept channels of consumers: each sends one request after the other.
import { Agent, request } from "node:http";
import { newId } from "./consumer.mjs";

export class KeptChannel {
  #agent = new Agent({ keepAlive: true, maxSockets: 1 });

  constructor(address) {
    [this.ip, this.port] = address.split(":");
  }

  /**
   * Sends a request. `outcome` is `answered` (a whole answer), `broken` (the
   * channel ended within the answer), `closed` (before any byte of it) or
   * `refused` (no channel).
   */
  send(
    {
      method = "GET",
      path,
      host,
      headers = {},
      body,
      id = newId(),
      timeoutMs = 20_000,
    },
  ) {
    return new Promise((resolve) => {
      const result = {
        id,
        status: 0,
        body: "",
        outcome: "closed",
        isReused: false,
        sentAt: performance.now(),
      };
      const end = (outcome) =>
        resolve({ ...result, outcome, endedAt: performance.now() });
      const req = request({
        agent: this.#agent,
        host: this.ip,
        port: this.port,
        method,
        path,
        headers: {
          host,
          "request-id": id,
          ...headers,
          ...(body === undefined
            ? {}
            : { "content-length": Buffer.byteLength(body) }),
        },
      }, (res) => {
        result.status = res.statusCode;
        result.headers = res.headers;
        res.on("data", (chunk) => result.body += chunk);
        res.on("error", () => {});
        res.on("close", () => end(res.complete ? "answered" : "broken"));
      });
      req.on("socket", () => result.isReused = req.reusedSocket);
      req.setTimeout(timeoutMs, () => req.destroy());
      req.on("error", (err) => {
        if (result.status === 0) {
          end(err.code === "ECONNREFUSED" ? "refused" : "closed");
        }
      });
      req.end(body);
    });
  }

  close() {
    this.#agent.destroy();
  }
}
