import type { HostRun } from "@toucantrestle/membership";
import { toProblem } from "@toucantrestle/verdict";
import type { ResponseSink } from "./caller_request.ts";
import type {
  CallStart,
  RpcName,
  RpcRequest,
  Rpcs,
  SiblingMessage,
} from "./messages.ts";
import type { PeerHandlers } from "./peer_handlers.ts";
import type { SiblingChannel } from "./sibling_channel.ts";

/** Handles the messages of one sibling on a link that the sibling dialled. */
export class IncomingSession {
  readonly #channel: SiblingChannel;
  readonly #from: HostRun;
  readonly #handlers: PeerHandlers;
  #handledCount = 0;

  constructor(
    opts: { channel: SiblingChannel; from: HostRun; handlers: PeerHandlers },
  ) {
    this.#channel = opts.channel;
    this.#from = opts.from;
    this.#handlers = opts.handlers;
  }

  /** Whether a request is being handled, or its response is not sent yet. */
  get isBusy(): boolean {
    return this.#handledCount > 0 || this.#channel.hasUnsent;
  }

  /** Dispatches a message to its handler. */
  receive(message: SiblingMessage): void {
    switch (message.t) {
      case "heartbeat":
        this.#handlers.onHeartbeat(this.#from, message);
        return;
      case "append": {
        const acks = this.#handlers.onAppend(this.#from, message);
        this.#channel.send({ t: "append_acks", acks });
        return;
      }
      case "trim":
        this.#handlers.onTrim(this.#from, message);
        return;
      case "load":
        this.#handlers.onLoad(message.digests);
        return;
      case "suspect":
        this.#handlers.onSuspect(message.fingerprint);
        return;
      case "convicted":
        this.#handlers.onConvicted(message.conviction);
        return;
      case "rpc":
        this.#handleRpc(message);
        return;
      case "call":
        this.#handleCall(message);
        return;
      default:
        return;
    }
  }

  async #handleRpc(message: RpcRequest): Promise<void> {
    const { id, name } = message;
    this.#handledCount += 1;
    try {
      const handler = this.#handlers.rpcs[name] as (
        args: unknown,
        from: HostRun,
      ) => Promise<AnyRpcResult>;
      const result = await handler(message.args, this.#from);
      this.#channel.send({ t: "rpc_result", id, result });
    } catch (err) {
      this.#channel.send({ t: "rpc_failure", id, problem: toProblem(err) });
    }
    this.#handledCount -= 1;
  }

  async #handleCall(message: CallStart): Promise<void> {
    const { id } = message;
    const sink = createChannelSink(this.#channel, id);
    this.#handledCount += 1;
    try {
      await this.#handlers.onCall(message.caller, message.request, sink);
    } catch (err) {
      this.#channel.send({ t: "call_failure", id, problem: toProblem(err) });
    }
    this.#handledCount -= 1;
  }
}

type AnyRpcResult = Rpcs[RpcName]["result"];

function createChannelSink(channel: SiblingChannel, id: number): ResponseSink {
  let hasStarted = false;
  return {
    get hasStarted() {
      return hasStarted;
    },
    head(start) {
      hasStarted = true;
      channel.send({ t: "call_head", id, ...start });
    },
    data: (text) => channel.send({ t: "call_data", id, text }),
    end: () => channel.send({ t: "call_end", id }),
  };
}
