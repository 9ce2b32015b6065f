import type { MemoryHolder, MemoryPurpose } from "@toucantrestle/memory";
import type { Call } from "./call.ts";
import { queuedBytes } from "./queued_bytes.ts";
import { disconnectReader } from "./responses.ts";

/** What waits for the caller of a call to take it. */
export class CallerQueue implements MemoryHolder {
  readonly call: Call;

  constructor(call: Call) {
    this.call = call;
  }

  get purpose(): MemoryPurpose {
    return this.call.route.kind === "streaming" ? "streams" : "responses";
  }

  /** The response to a request that must not run again exists only once. */
  get isIrreplaceable(): boolean {
    return this.call.route.kind === "non_idempotent";
  }

  keptBytes(): number {
    return queuedBytes(this.call.res);
  }

  cut(): void {
    disconnectReader(this.call);
  }
}

/** Memory of a call in progress beside its bodies: head, objects, timers. */
const CALL_BYTES = 6_000;

/** The request of a call in progress, which is not cut for it. */
class OpenRequest implements MemoryHolder {
  readonly purpose = "request_bodies";
  readonly #call: Call;

  constructor(call: Call) {
    this.#call = call;
  }

  keptBytes(): number {
    return CALL_BYTES + this.#call.body.length;
  }
}

/** The holders of each call, so that it is known which of them was cut. */
const holdersOfCall = new WeakMap<Call, readonly MemoryHolder[]>();

/** Returns what is kept for calls in progress. */
export function* heldForCalls(calls: Iterable<Call>): Iterable<MemoryHolder> {
  for (const call of calls) {
    let holders = holdersOfCall.get(call);
    if (!holders) {
      holders = [new CallerQueue(call), new OpenRequest(call)];
      holdersOfCall.set(call, holders);
    }
    yield* holders;
  }
}
