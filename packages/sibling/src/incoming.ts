import type { HostRun } from "@toucantrestle/membership";
import { problemOf } from "@toucantrestle/verdict";
import type { AnswerSink } from "./caller_request.ts";
import type {
  CallStart,
  RpcName,
  RpcRequest,
  Rpcs,
  SiblingMessage,
} from "./messages.ts";
import type { PeerHandlers } from "./peer_handlers.ts";
import type { Wire } from "./wire.ts";

/** Serves the messages that one sibling sends over the link it dialled. */
export class IncomingSession {
  readonly #wire: Wire;
  readonly #from: HostRun;
  readonly #handlers: PeerHandlers;

  constructor(opts: { wire: Wire; from: HostRun; handlers: PeerHandlers }) {
    this.#wire = opts.wire;
    this.#from = opts.from;
    this.#handlers = opts.handlers;
  }

  /** Handles one message. */
  receive(message: SiblingMessage): void {
    switch (message.t) {
      case "heartbeat":
        this.#handlers.onHeartbeat(this.#from, message);
        return;
      case "append": {
        const acks = this.#handlers.onAppend(this.#from, message);
        this.#wire.send({ t: "append_acks", acks });
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
        this.#serveRpc(message);
        return;
      case "call":
        this.#serveCall(message);
        return;
      default:
        return;
    }
  }

  async #serveRpc(message: RpcRequest): Promise<void> {
    const { id, name } = message;
    try {
      const handler = this.#handlers.rpcs[name] as (
        args: unknown,
        from: HostRun,
      ) => Promise<AnyRpcResult>;
      const result = await handler(message.args, this.#from);
      this.#wire.send({ t: "rpc_result", id, result });
    } catch (err) {
      this.#wire.send({ t: "rpc_failure", id, problem: problemOf(err) });
    }
  }

  async #serveCall(message: CallStart): Promise<void> {
    const { id } = message;
    const sink = createWireSink(this.#wire, id);
    try {
      await this.#handlers.onCall(message.caller, message.request, sink);
    } catch (err) {
      this.#wire.send({ t: "call_failure", id, problem: problemOf(err) });
    }
  }
}

type AnyRpcResult = Rpcs[RpcName]["result"];

function createWireSink(wire: Wire, id: number): AnswerSink {
  let hasStarted = false;
  return {
    get hasStarted() {
      return hasStarted;
    },
    head(status, contentType) {
      hasStarted = true;
      wire.send({ t: "call_head", id, status, contentType });
    },
    data: (text) => wire.send({ t: "call_data", id, text }),
    end: () => wire.send({ t: "call_end", id }),
  };
}
