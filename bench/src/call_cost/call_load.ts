import { Agent, request } from "node:http";
import { REQUEST_ID } from "./bench_protocol.ts";

const CONCURRENCY = 8;
/** Every second call is a stream with a prompt of this size, in bytes. */
const PROMPT = Buffer.alloc(12_000, "p");
const SMALL_BODY = Buffer.from('{"a":1}');

/** Sends streams and plain calls in turn, a few at a time. */
export class CallLoad {
  readonly #agent = new Agent({ keepAlive: true });
  readonly #url: URL;
  #sent = 0;
  /** Calls without a complete response with status 200. */
  failed = 0;

  constructor(address: string) {
    this.#url = new URL(`http://${address}`);
  }

  /** Sends `count` calls and waits for their responses. */
  async run(count: number): Promise<void> {
    const end = this.#sent + count;
    const sendUntilEnd = async () => {
      while (this.#sent < end) {
        if (await this.send(this.#sent++ % 2 === 0) !== 200) this.failed += 1;
      }
    };
    await Promise.all(Array.from({ length: CONCURRENCY }, sendUntilEnd));
  }

  /** Sends one call; resolves to its status, 0 without a whole response. */
  send(isStream: boolean): Promise<number> {
    const body = isStream ? PROMPT : SMALL_BODY;
    return new Promise((resolve) => {
      const req = request({
        host: this.#url.hostname,
        port: this.#url.port,
        path: isStream ? "/streaming" : "/idempotent",
        method: "POST",
        agent: this.#agent,
        headers: {
          [REQUEST_ID]: `call-${this.#sent}-${Math.random()}`,
          "content-type": "application/json",
          "content-length": body.length,
        },
      }, (res) => {
        res.resume();
        res.on("close", () => resolve(res.complete ? res.statusCode ?? 0 : 0));
      });
      req.on("error", () => resolve(0));
      req.end(body);
    });
  }

  close(): void {
    this.#agent.destroy();
  }
}
