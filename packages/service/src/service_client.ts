import {
  parseDeclaredVerdict,
  RequestError,
  toUpstreamError,
  UpstreamError,
} from "@toucantrestle/verdict";
import { Pool } from "undici";

/** A call to a service route. */
export interface ServiceCall {
  requestId: string;
  program: string;
  step: number;
  route: string;
  /** JSON text. */
  body: string;
  /** Time in ms after which the call is aborted. */
  deadlineMs: number;
}

/** Response of a service. */
export interface ServiceResponse {
  status: number;
  contentType: string;
  body: string;
}

const CONNECT_TIMEOUT_MS = 1_000;
const KEEP_ALIVE_MS = 2_000;

/** Client of one service upstream. */
export class ServiceClient {
  readonly #name: string;
  readonly #pool: Pool;

  constructor(opts: { name: string; address: string }) {
    this.#name = opts.name;
    this.#pool = new Pool(`http://${opts.address}`, {
      connect: { timeout: CONNECT_TIMEOUT_MS },
      keepAliveTimeout: KEEP_ALIVE_MS,
    });
  }

  /**
   * Sends a call without retries.
   *
   * @throws {RequestError} with the verdict on whether the call has run
   */
  async call(call: ServiceCall): Promise<ServiceResponse> {
    const response = await this.#exchange(call);
    if (response.status < 500) return response;
    throw new UpstreamError(
      `service ${this.#name} responded with status ${response.status}`,
      { props: { verdict: parseDeclaredVerdict(response.body) } },
    );
  }

  /** Closes all connections. Calls in flight fail. */
  async close(): Promise<void> {
    await this.#pool.destroy();
  }

  async #exchange(call: ServiceCall): Promise<ServiceResponse> {
    try {
      const res = await this.#pool.request({
        path: `/call/${encodeURIComponent(call.route)}`,
        method: "POST",
        headers: {
          "content-type": "application/json",
          "x-request-id": call.requestId,
          "x-program": call.program,
          "x-step": String(call.step),
        },
        body: call.body,
        signal: AbortSignal.timeout(call.deadlineMs),
      });
      return {
        status: res.statusCode,
        contentType: String(res.headers["content-type"] ?? "text/plain"),
        body: await res.body.text(),
      };
    } catch (err) {
      if (err instanceof RequestError) throw err;
      throw toUpstreamError(this.#name, err);
    }
  }
}
