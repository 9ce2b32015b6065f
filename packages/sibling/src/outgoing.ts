import type { HostRun } from "@toucantrestle/membership";
import type { Subscription, Timer } from "@toucantrestle/timer";
import {
  errorOfProblem,
  UnavailableError,
  type Verdict,
} from "@toucantrestle/verdict";
import type { AnswerSink, CallerRequest } from "./caller_request.ts";
import type { AppendAck, RpcName, Rpcs, SiblingMessage } from "./messages.ts";
import type { Wire } from "./wire.ts";

interface PendingRpc {
  resolve: (result: Rpcs[RpcName]["result"]) => void;
  reject: (err: Error) => void;
  timeout: Subscription;
}

interface PendingCall {
  sink: AnswerSink;
  resolve: () => void;
  reject: (err: Error) => void;
}

/** Requests that this daemon sends over the link it dialled. */
export class OutgoingSession {
  readonly #wire: Wire;
  readonly #run: HostRun;
  readonly #timer: Timer;
  readonly #onAppendAcks: (acks: AppendAck[]) => void;
  readonly #rpcs = new Map<number, PendingRpc>();
  readonly #calls = new Map<number, PendingCall>();
  #nextId = 1;

  constructor(
    opts: {
      wire: Wire;
      run: HostRun;
      timer: Timer;
      onAppendAcks: (acks: AppendAck[]) => void;
    },
  ) {
    this.#wire = opts.wire;
    this.#run = opts.run;
    this.#timer = opts.timer;
    this.#onAppendAcks = opts.onAppendAcks;
  }

  /** The sibling at the other end. */
  get run(): HostRun {
    return this.#run;
  }

  send(message: SiblingMessage): void {
    this.#wire.send(message);
  }

  /**
   * Sends a request and waits for its answer.
   *
   * @throws {RequestError} as the sibling answered, or when it did not in time
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
        reject(this.#lostError(`did not answer "${name}" in time`));
      });
      this.#rpcs.set(id, {
        resolve: resolve as PendingRpc["resolve"],
        reject,
        timeout,
      });
      this.#wire.send({ t: "rpc", id, name, args });
    });
  }

  /**
   * Passes a caller's request on; the answer goes to the sink.
   *
   * @throws {RequestError} as the sibling answered, or when the link was lost
   */
  call(
    caller: string,
    request: CallerRequest,
    sink: AnswerSink,
  ): Promise<void> {
    const id = this.#nextId++;
    return new Promise((resolve, reject) => {
      this.#calls.set(id, { sink, resolve, reject });
      this.#wire.send({ t: "call", id, caller, request });
    });
  }

  /** Handles one message. */
  receive(message: SiblingMessage): void {
    switch (message.t) {
      case "append_acks":
        this.#onAppendAcks(message.acks);
        return;
      case "rpc_result":
        this.#takeRpc(message.id)?.resolve(message.result);
        return;
      case "rpc_failure":
        this.#takeRpc(message.id)?.reject(errorOfProblem(message.problem));
        return;
      case "call_head":
        this.#calls.get(message.id)?.sink.head(
          message.status,
          message.contentType,
        );
        return;
      case "call_data":
        this.#calls.get(message.id)?.sink.data(message.text);
        return;
      case "call_end":
        this.#endCall(message.id);
        return;
      case "call_failure":
        this.#takeCall(message.id)?.reject(errorOfProblem(message.problem));
        return;
      default:
        return;
    }
  }

  /** Fails everything that waits, since the link was lost. */
  lost(): void {
    for (const id of [...this.#rpcs.keys()]) {
      this.#takeRpc(id)?.reject(this.#lostError("was lost"));
    }
    for (const id of [...this.#calls.keys()]) {
      this.#takeCall(id)?.reject(this.#lostError("was lost"));
    }
  }

  #endCall(id: number): void {
    const call = this.#takeCall(id);
    call?.sink.end();
    call?.resolve();
  }

  #takeRpc(id: number): PendingRpc | undefined {
    const pending = this.#rpcs.get(id);
    this.#rpcs.delete(id);
    pending?.timeout.cancel();
    return pending;
  }

  #takeCall(id: number): PendingCall | undefined {
    const pending = this.#calls.get(id);
    this.#calls.delete(id);
    return pending;
  }

  #lostError(what: string) {
    const verdict: Verdict = "may_have_run";
    return new UnavailableError(`host ${this.#run.host} ${what}`, {
      props: { verdict },
    });
  }
}
