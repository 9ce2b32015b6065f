import { type HostLookupResult } from "@toucantrestle/caller";
import { shardOfProgram } from "@toucantrestle/membership";
import type {
  CallerRequest,
  ResponseSink,
  SiblingNet,
} from "@toucantrestle/sibling";
import { sleep, type Timer } from "@toucantrestle/timer";
import {
  RequestError,
  toProblem,
  UnavailableError,
  type Verdict,
} from "@toucantrestle/verdict";
import { writeStreamProblem } from "./outcome_writer.ts";
import { createRelocatedError, isRelocated } from "./errors.ts";
import type { Ownership } from "./ownership.ts";
import type { ProgramCalls } from "./program_calls.ts";
import type { StoreView } from "./store_view.ts";

/** Maximum time to look for a reachable owner of a request's program. */
const ROUTING_TIMEOUT_MS = 10_000;
const ROUTING_RETRY_DELAY_MS = 50;
const RETRY_AFTER_MS = 2_000;
/** Time for which callers may cache the address of a program. */
const LOCATION_TTL_MS = 10_000;
const MAX_ALTERNATIVES = 3;

/**
 * Serves callers' requests: locally if this daemon owns the program, otherwise by
 * forwarding them to the owner.
 */
export class RequestRouter {
  readonly #view: StoreView;
  readonly #ownership: Ownership;
  readonly #programCalls: ProgramCalls;
  readonly #net: () => SiblingNet;
  readonly #timer: Timer;
  readonly #selfRunId: string;
  readonly #selfAddress: string;

  constructor(
    opts: {
      view: StoreView;
      ownership: Ownership;
      programCalls: ProgramCalls;
      net: () => SiblingNet;
      timer: Timer;
      selfRunId: string;
      selfAddress: string;
    },
  ) {
    this.#view = opts.view;
    this.#ownership = opts.ownership;
    this.#programCalls = opts.programCalls;
    this.#net = opts.net;
    this.#timer = opts.timer;
    this.#selfRunId = opts.selfRunId;
    this.#selfAddress = opts.selfAddress;
  }

  /**
   * Serves a request. If the owner of its program is lost, the request is sent to
   * the next owner, which knows the state of the request from the journal.
   *
   * @throws {RequestError} if it failed before the response started
   */
  async handle(
    caller: string,
    request: CallerRequest,
    sink: ResponseSink,
  ): Promise<void> {
    const deadlineAt = this.#timer.now() + ROUTING_TIMEOUT_MS;
    for (;;) {
      try {
        if (await this.#tryServe(caller, request, sink)) return;
      } catch (err) {
        if (sink.hasStarted) return endBrokenStream(err, sink);
        if (!isRelocated(err) && !isLinkLost(err)) throw err;
      }
      if (this.#timer.now() >= deadlineAt) throw createNoOwnerError(request);
      await sleep(this.#timer, ROUTING_RETRY_DELAY_MS);
    }
  }

  /** Serves a request that a sibling forwarded. It is not forwarded again. */
  async handleLocally(
    caller: string,
    request: CallerRequest,
    sink: ResponseSink,
  ): Promise<void> {
    const shardNumber = shardOfProgram(request.program) ?? 0;
    const shard = this.#ownership.getServedShard(shardNumber);
    if (!shard) throw createRelocatedError(shardNumber, "not_run");
    await this.#programCalls.serve({ shard, caller, request, sink });
  }

  /**
   * Returns the address that calls of a program should be sent to, with
   * alternatives.
   */
  locate(program: string | undefined): HostLookupResult {
    const hosts = [...this.#view.hosts.values()]
      .filter((it) => it.state === "live")
      .map((it) => it.address);
    const owner = program === undefined
      ? undefined
      : this.#findOwnerAddress(program);
    const address = owner ?? this.#selfAddress;
    return {
      address,
      keep_ms: LOCATION_TTL_MS,
      alternatives: hosts.filter((it) => it !== address)
        .slice(0, MAX_ALTERNATIVES),
    };
  }

  #findOwnerAddress(program: string): string | undefined {
    const shard = shardOfProgram(program) ?? 0;
    return this.#view.shards.get(shard)?.record.owner.address;
  }

  async #tryServe(
    caller: string,
    request: CallerRequest,
    sink: ResponseSink,
  ): Promise<boolean> {
    const shardNumber = shardOfProgram(request.program) ?? 0;
    const shard = this.#ownership.getServedShard(shardNumber);
    if (shard) {
      await this.#programCalls.serve({ shard, caller, request, sink });
      return true;
    }
    const owner = this.#view.shards.get(shardNumber)?.record.owner;
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

function endBrokenStream(err: unknown, sink: ResponseSink): void {
  writeStreamProblem(toProblem(err), sink);
}

/**
 * Creates the error for a request whose owner was not found in time. The verdict
 * is `may_have_run`, since only the owner knows whether an earlier attempt with
 * the same request id has run. Repeating the request is always safe.
 */
function createNoOwnerError(request: CallerRequest) {
  const verdict: Verdict = "may_have_run";
  return new UnavailableError(
    `owner of program ${request.program} is unreachable`,
    { props: { verdict, retryAfterMs: RETRY_AFTER_MS } },
  );
}
