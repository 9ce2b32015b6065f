import { type HostLookupResult } from "@toucantrestle/caller";
import { shardOfProgram } from "@toucantrestle/membership";
import type {
  AnswerSink,
  CallerRequest,
  SiblingNet,
} from "@toucantrestle/sibling";
import { sleep, type Timer } from "@toucantrestle/timer";
import {
  RequestError,
  toProblem,
  UnavailableError,
  type Verdict,
} from "@toucantrestle/verdict";
import { writeStreamProblem } from "./answers.ts";
import { isRelocated, relocated } from "./errors.ts";
import type { Ownership } from "./ownership.ts";
import type { ProgramCalls } from "./program_calls.ts";
import type { StoreView } from "./store_view.ts";

/** How long a request may look for the owner of its program. */
const ROUTING_PATIENCE_MS = 10_000;
const LOOK_AGAIN_MS = 50;
const RETRY_AFTER_MS = 2_000;
const WHERE_KEEP_MS = 10_000;
const MAX_ALTERNATIVES = 3;

/** Serves requests of callers: here, or through the owner of the program. */
export class Entry {
  readonly #view: StoreView;
  readonly #ownership: Ownership;
  readonly #calls: ProgramCalls;
  readonly #net: () => SiblingNet;
  readonly #timer: Timer;
  readonly #selfRunId: string;
  readonly #selfAddress: string;

  constructor(
    opts: {
      view: StoreView;
      ownership: Ownership;
      calls: ProgramCalls;
      net: () => SiblingNet;
      timer: Timer;
      selfRunId: string;
      selfAddress: string;
    },
  ) {
    this.#view = opts.view;
    this.#ownership = opts.ownership;
    this.#calls = opts.calls;
    this.#net = opts.net;
    this.#timer = opts.timer;
    this.#selfRunId = opts.selfRunId;
    this.#selfAddress = opts.selfAddress;
  }

  /**
   * Serves a request. When the owner of its program is lost, the request goes
   * to the next owner, which knows from the journal what became of it.
   *
   * @throws {RequestError} when it failed before the answer began
   */
  async handle(
    caller: string,
    request: CallerRequest,
    sink: AnswerSink,
  ): Promise<void> {
    const giveUpAt = this.#timer.now() + ROUTING_PATIENCE_MS;
    for (;;) {
      try {
        if (await this.#tryOnce(caller, request, sink)) return;
      } catch (err) {
        if (sink.hasStarted) return endBrokenStream(err, sink);
        if (!isRelocated(err) && !isLinkLost(err)) throw err;
      }
      if (this.#timer.now() >= giveUpAt) throw ownerMissing(request);
      await sleep(this.#timer, LOOK_AGAIN_MS);
    }
  }

  /** Serves a request that a sibling passed on. It goes no further. */
  async handleHere(
    caller: string,
    request: CallerRequest,
    sink: AnswerSink,
  ): Promise<void> {
    const number = shardOfProgram(request.program) ?? 0;
    const shard = this.#ownership.serving(number);
    if (!shard) throw relocated(number, "not_run");
    await this.#calls.serve({ shard, caller, request, sink });
  }

  /** Address at which a program's calls are best sent. */
  where(program: string | undefined): HostLookupResult {
    const hosts = [...this.#view.hosts.values()]
      .filter((it) => it.state === "live")
      .map((it) => it.address);
    const owner = program === undefined
      ? undefined
      : this.#ownerAddress(program);
    const address = owner ?? this.#selfAddress;
    return {
      address,
      keep_ms: WHERE_KEEP_MS,
      alternatives: hosts.filter((it) => it !== address)
        .slice(0, MAX_ALTERNATIVES),
    };
  }

  #ownerAddress(program: string): string | undefined {
    const shard = shardOfProgram(program) ?? 0;
    return this.#view.shards.get(shard)?.record.owner.address;
  }

  async #tryOnce(
    caller: string,
    request: CallerRequest,
    sink: AnswerSink,
  ): Promise<boolean> {
    const number = shardOfProgram(request.program) ?? 0;
    const shard = this.#ownership.serving(number);
    if (shard) {
      await this.#calls.serve({ shard, caller, request, sink });
      return true;
    }
    const owner = this.#view.shards.get(number)?.record.owner;
    if (!owner || owner.runId === this.#selfRunId) return false;
    const session = this.#net().session(owner);
    if (!session) {
      this.#net().ensureLink(owner);
      return false;
    }
    await session.call(caller, request, sink);
    return true;
  }
}

function isLinkLost(err: unknown): err is RequestError {
  return err instanceof RequestError && err.name === "UnavailableError" &&
    err.verdict === "may_have_run";
}

function endBrokenStream(err: unknown, sink: AnswerSink): void {
  writeStreamProblem(toProblem(err), sink);
}

/**
 * Only the owner knows whether an earlier try under the same request id ran,
 * so nothing better can be said. A repeat is always safe.
 */
function ownerMissing(request: CallerRequest) {
  const verdict: Verdict = "may_have_run";
  return new UnavailableError(
    `the owner of program ${request.program} cannot be reached`,
    { props: { verdict, retryAfterMs: RETRY_AFTER_MS } },
  );
}
