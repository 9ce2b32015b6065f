import type { Logger } from "@toucantrestle/log";
import { ByteCollector, MemoryHolders } from "@toucantrestle/memory";
import type { Timer } from "@toucantrestle/timer";
import {
  type ChannelFailure,
  ChannelPool,
  type OutgoingRequest,
  type ResponseHead,
} from "@toucantrestle/upstream_channel";
import {
  parseDeclaredVerdict,
  parseRetryAfterMs,
  TimeoutError,
  UpstreamError,
} from "@toucantrestle/verdict";

/** A larger response is treated as malformed. */
const MAX_RESPONSE_BYTES = 16_000_000;

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
  /**
   * True if the body may be incomplete, because only the end of the connection
   * marked its end.
   */
  endsWithConnection: boolean;
  /** Time after which the service takes requests again, in ms, if it says so. */
  retryAfterMs: number | undefined;
}

/** Options of `ServiceClient`. */
export interface ServiceClientOptions {
  name: string;
  address: string;
  timer: Timer;
  log: Logger;
  /** Where responses are counted while they arrive. */
  holders?: MemoryHolders;
}

const TOO_MANY_REQUESTS_STATUS = 429;

/** Client of one service upstream. */
export class ServiceClient {
  readonly #name: string;
  readonly #timer: Timer;
  readonly #pool: ChannelPool;
  readonly #holders: MemoryHolders;

  constructor(
    { name, address, timer, log, holders = new MemoryHolders() }:
      ServiceClientOptions,
  ) {
    this.#holders = holders;
    this.#name = name;
    this.#timer = timer;
    this.#pool = new ChannelPool({ address, timer, log });
  }

  /**
   * Sends a call without retries.
   *
   * @throws {RequestError} with the verdict on whether the call has run
   */
  async call(call: ServiceCall): Promise<ServiceResponse> {
    const response = await this.#exchange(call);
    const verdict = parseDeclaredVerdict(response.body);
    const isRefused = response.status === TOO_MANY_REQUESTS_STATUS &&
      verdict === "not_run";
    if (response.status < 500 && !isRefused) return response;
    throw new UpstreamError(
      `service ${this.#name} responded with status ${response.status}`,
      { props: { verdict, retryAfterMs: response.retryAfterMs } },
    );
  }

  /** Closes all connections. Calls in flight fail. */
  close(): void {
    this.#pool.close();
  }

  #exchange(call: ServiceCall): Promise<ServiceResponse> {
    const collector = new ByteCollector({ maxBytes: MAX_RESPONSE_BYTES });
    let head: ResponseHead | undefined;
    let hasTimedOut = false;
    return new Promise((resolve, reject) => {
      const exchange = this.#pool.send(this.#createRequest(call), {
        onHead: (received) => {
          head = received;
        },
        onData: (chunk) => {
          if (!collector.push(chunk)) exchange.cancel();
        },
        onEnd: () => {
          finish();
          resolve(toResponse(head as ResponseHead, collector.takeText()));
        },
        onFailure: (failure) => {
          finish();
          const reason = collector.hasOverflowed
            ? "bad_answer"
            : failure.reason;
          reject(this.#toError({ ...failure, reason }, hasTimedOut));
        },
      });
      const timeout = this.#timer.after(call.deadlineMs, () => {
        hasTimedOut = true;
        exchange.cancel();
      });
      const removeHolder = this.#holders.add({
        purpose: "responses",
        keptBytes: () => collector.keptBytes,
        cut: () => exchange.cancel(),
      });
      const finish = () => {
        timeout.cancel();
        removeHolder();
      };
    });
  }

  #createRequest(call: ServiceCall): OutgoingRequest {
    const body = Buffer.from(call.body);
    const headers = {
      "host": this.#name,
      "content-type": "application/json",
      "content-length": String(body.length),
      "x-request-id": call.requestId,
      "x-program": call.program,
      "x-step": String(call.step),
    };
    return {
      id: call.requestId,
      method: "POST",
      path: `/call/${encodeURIComponent(call.route)}`,
      headers: Object.entries(headers).flat(),
      body,
    };
  }

  #toError({ reason, verdict }: ChannelFailure, hasTimedOut: boolean) {
    const props = { props: { verdict } };
    if (hasTimedOut) {
      return new TimeoutError(`call of service ${this.#name} timed out`, props);
    }
    return new UpstreamError(FAILURE_MESSAGES[reason](this.#name), props);
  }
}

const FAILURE_MESSAGES: Record<
  ChannelFailure["reason"],
  (name: string) => string
> = {
  connect_refused: (name) => `service ${name} refused the connection`,
  connect_timeout: (name) => `service ${name} did not accept the connection`,
  not_wanted: (name) => `request to service ${name} was not sent`,
  other_process: (name) => `another process answers for service ${name}`,
  unknown_process: (name) => `the process of service ${name} is not known`,
  connection_lost: (name) =>
    `service ${name} closed the connection before the response was complete`,
  bad_answer: (name) => `service ${name} sent a malformed response`,
  cancelled: (name) => `call of service ${name} was cancelled`,
};

function toResponse(head: ResponseHead, body: string): ServiceResponse {
  return {
    status: head.status,
    contentType: head.headers.get("content-type") ?? "text/plain",
    body,
    retryAfterMs: parseRetryAfterMs(head.headers.get("retry-after")),
    endsWithConnection: head.bodyDelimiter === "close",
  };
}
