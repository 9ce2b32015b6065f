import type { HostRun } from "@toucantrestle/membership";
import type { Subscription, Timer } from "@toucantrestle/timer";
import {
  toRequestError,
  UnavailableError,
  type Verdict,
} from "@toucantrestle/verdict";
import type { CallerRequest, ResponseSink } from "./caller_request.ts";
import type { AppendAck, RpcName, Rpcs, SiblingMessage } from "./messages.ts";
import type { SiblingChannel } from "./sibling_channel.ts";

interface PendingRpc {
  resolve: (result: Rpcs[RpcName]["result"]) => void;
  reject: (err: Error) => void;
  timeout: Subscription;
}

interface PendingCall {
  sink: ResponseSink;
  resolve: () => void;
  reject: (err: Error) => void;
}

/** Sends messages and requests to one sibling over a link dialled to it. */
export class OutgoingSession {
  readonly #channel: SiblingChannel;
  readonly #run: HostRun;
  readonly #timer: Timer;
  readonly #onAppendAcks: (acks: AppendAck[]) => void;
  readonly #rpcs = new Map<number, PendingRpc>();
  readonly #calls = new Map<number, PendingCall>();
  #nextId = 1;

  constructor(
    opts: {
      channel: SiblingChannel;
      run: HostRun;
      timer: Timer;
      onAppendAcks: (acks: AppendAck[]) => void;
    },
  ) {
    this.#channel = opts.channel;
    this.#run = opts.run;
    this.#timer = opts.timer;
    this.#onAppendAcks = opts.onAppendAcks;
  }

  /** Run of the sibling at the remote end. */
  get run(): HostRun {
    return this.#run;
  }

  send(message: SiblingMessage): void {
    this.#channel.send(message);
  }

  /**
   * Sends a request and waits for its result.
   *
   * @throws {RequestError} as returned by the sibling, or if the sibling does
   * not answer within `timeoutMs` or the link is lost
   */
  rpc<K extends RpcName>(
    name: K,
    args: Rpcs[K]["args"],
    timeoutMs: number,
  ): Promise<Rpcs[K]["result"]> {
    const id = this.#nextId++;
    return new Promise((resolve, reject) => {
      const timeout = this.#timer.after(timeoutMs, () => {
        this.#rpcs.delete(id);
        reject(
          this.#unavailableError(
            `did not answer "${name}" within ${timeoutMs} ms`,
          ),
        );
      });
      this.#rpcs.set(id, {
        resolve: resolve as PendingRpc["resolve"],
        reject,
        timeout,
      });
      this.#channel.send({ t: "rpc", id, name, args });
    });
  }

  /**
   * Forwards a caller's request and streams the response to `sink`.
   *
   * @throws {RequestError} as returned by the sibling, or if the link is lost
   */
  call(
    caller: string,
    request: CallerRequest,
    sink: ResponseSink,
  ): Promise<void> {
    const id = this.#nextId++;
    return new Promise((resolve, reject) => {
      this.#calls.set(id, { sink, resolve, reject });
      this.#channel.send({ t: "call", id, caller, request });
    });
  }

  /** Dispatches a message to the request that it belongs to. */
  receive(message: SiblingMessage): void {
    switch (message.t) {
      case "append_acks":
        this.#onAppendAcks(message.acks);
        return;
      case "rpc_result":
        this.#removeRpc(message.id)?.resolve(message.result);
        return;
      case "rpc_failure":
        this.#removeRpc(message.id)?.reject(toRequestError(message.problem));
        return;
      case "call_head":
        this.#calls.get(message.id)?.sink.head(message);
        return;
      case "call_data":
        this.#calls.get(message.id)?.sink.data(message.text);
        return;
      case "call_end":
        this.#completeCall(message.id);
        return;
      case "call_failure":
        this.#removeCall(message.id)?.reject(toRequestError(message.problem));
        return;
      default:
        return;
    }
  }

  /** Rejects all pending requests, because the link was lost. */
  failPending(): void {
    for (const id of [...this.#rpcs.keys()]) {
      this.#removeRpc(id)?.reject(
        this.#unavailableError("disconnected before it answered"),
      );
    }
    for (const id of [...this.#calls.keys()]) {
      this.#removeCall(id)?.reject(
        this.#unavailableError("disconnected before it answered"),
      );
    }
  }

  #completeCall(id: number): void {
    const call = this.#removeCall(id);
    call?.sink.end();
    call?.resolve();
  }

  #removeRpc(id: number): PendingRpc | undefined {
    const pending = this.#rpcs.get(id);
    this.#rpcs.delete(id);
    pending?.timeout.cancel();
    return pending;
  }

  #removeCall(id: number): PendingCall | undefined {
    const pending = this.#calls.get(id);
    this.#calls.delete(id);
    return pending;
  }

  #unavailableError(reason: string) {
    const verdict: Verdict = "may_have_run";
    return new UnavailableError(`host ${this.#run.host} ${reason}`, {
      props: { verdict },
    });
  }
}
