import type {
  Admission,
  LimitedOrganisation,
  RequestKind,
} from "@toucantrestle/quota";
import type { Call } from "./call.ts";
import type { SettledDecision } from "./quota_client.ts";
import { abortResponse, refuseOverQuota, respond } from "./responses.ts";
import type { ServeOptions } from "./serve_options.ts";

type CallQuotaOptions = Pick<
  ServeOptions,
  "quotas" | "recentPrograms" | "timer"
>;

/** A token may expire before it is used if the process is suspended. */
const MAX_TRIES = 2;
const EXPIRED_WAIT_MS = 200;

/**
 * Tokens of a call under the quota of its organisation. It is admitted with one
 * before any work is done, and each attempt that is sent uses one.
 */
export class CallQuota {
  readonly #call: Call;
  readonly #organisation: LimitedOrganisation;
  readonly #opts: CallQuotaOptions;
  /** Admission whose token is not used yet. */
  #admission: Admission | undefined;

  constructor(
    call: Call,
    organisation: LimitedOrganisation,
    opts: CallQuotaOptions,
  ) {
    this.#call = call;
    this.#organisation = organisation;
    this.#opts = opts;
  }

  /** Admits the call, or refuses it and returns false. */
  async admit(): Promise<boolean> {
    const decision = await this.#ask(this.#kind);
    if (decision.kind !== "admitted") return this.#refuse(decision.waitMs);
    this.#admission = decision.admission;
    const { recentPrograms, timer } = this.#opts;
    const program = this.#programKey;
    if (program) recentPrograms.add(program, timer.monotonicNow());
    return !this.#call.isAbandoned;
  }

  /**
   * Uses a token for an attempt, immediately before it is sent. Returns false if
   * the call is finished.
   */
  async useToken(): Promise<boolean> {
    const { quotas } = this.#opts;
    const admission = this.#admission;
    this.#admission = undefined;
    if (admission && quotas.use(admission)) return true;
    for (let tries = 0; tries < MAX_TRIES; tries++) {
      const decision = await this.#ask("continued");
      if (decision.kind !== "admitted") {
        return this.#refuse(decision.waitMs);
      }
      if (this.#call.isAbandoned) {
        quotas.release(decision.admission);
        return false;
      }
      if (quotas.use(decision.admission)) return true;
    }
    return this.#refuse(EXPIRED_WAIT_MS);
  }

  /** Gives back a token that was not used. */
  release(): void {
    if (this.#admission) this.#opts.quotas.release(this.#admission);
    this.#admission = undefined;
  }

  /** Returns the decision at once if the tokens held suffice. */
  #ask(kind: RequestKind): SettledDecision | Promise<SettledDecision> {
    return this.#opts.quotas.admit(this.#organisation, kind);
  }

  /** Answers truthfully: only a call that cannot have run gets a 429. */
  #refuse(waitMs: number): false {
    const reason = "no token under the quota of the organisation";
    this.#opts.quotas.recordRefusal();
    if (this.#call.res.headersSent) abortResponse(this.#call, reason);
    else if (!refuseOverQuota(this.#call, waitMs)) {
      respond(this.#call, { status: 502, verdict: "may_have_run", reason });
    }
    return false;
  }

  get #kind(): RequestKind {
    const { head, route } = this.#call;
    const { recentPrograms, timer } = this.#opts;
    const program = this.#programKey;
    const isContinued = route.kind !== "streaming" ||
      head.previousTurn !== undefined || head.lastEventId !== undefined ||
      (program && recentPrograms.has(program, timer.monotonicNow()));
    return isContinued ? "continued" : "new";
  }

  /** Programs of two organisations may have the same id. */
  get #programKey(): string | undefined {
    const { program } = this.#call.head;
    return program && JSON.stringify([this.#organisation.name, program]);
  }
}
