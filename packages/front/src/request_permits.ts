import type { Logger } from "@toucantrestle/log";
import {
  type PermitRequest,
  RateLimiter,
  type UpstreamEntry,
  type UpstreamNotices,
} from "@toucantrestle/routing";
import type { Timer } from "@toucantrestle/timer";
import type { Collectors } from "./collectors.ts";
import type { FleetShare } from "./fleet_share.ts";
import {
  fromSharedNotice,
  type SharedNotice,
  toSharedNotice,
} from "./shared_notice.ts";
import type { FrontMethods } from "./protocol.ts";

type PermitQuery = FrontMethods["permit"]["args"];
type PermitReply = FrontMethods["permit"]["result"];

/** The last denial of a permit; it holds for no greater weight. */
interface Denial {
  /** Start time of the process that it concerns, in ms since the epoch. */
  startedAt: number;
  until: number;
  weight: number;
}

/** Limiter of the newest known process of an upstream. */
interface ProcessLimiter {
  startedAt: number;
  limiter: RateLimiter;
}

/** Links to the siblings that `RequestPermits` needs. */
export interface PermitLinks {
  queryPermit(
    host: string,
    query: PermitQuery,
    timeoutMs: number,
  ): Promise<PermitReply>;
}

/** Options of `RequestPermits`. */
export interface RequestPermitsOptions {
  self: string;
  timer: Timer;
  notices: UpstreamNotices;
  collectors: Collectors;
  share: Pick<FleetShare, "connected" | "own">;
  links: PermitLinks;
  log: Logger;
}

/** A collector that does not answer within this time is not waited for. */
const QUERY_TIMEOUT_MS = 25;
/** A limit of less than this is exceeded: only responses tell of its end. */
const MIN_RATE_PER_S = 0.1;
/**
 * Part of its own share that a front uses while the collector does not answer.
 * The collector may still grant the whole limit, and its answers come too late.
 */
const UNANSWERED_FRACTION = 0.4;
/** A denied permit is asked for again after this time at the latest. */
const MAX_DENIAL_MS = 1_000;

/**
 * Permits for requests to upstreams that limit the requests per second of all
 * fronts together. The collector of an upstream grants them, for the part of
 * the fleet that it is connected to. A front that gets no answer from the
 * collector uses a part of its own share.
 */
export class RequestPermits {
  readonly #opts: RequestPermitsOptions;
  /** Limiters of the upstreams that this front collects, for all its askers. */
  readonly #collected = new Map<string, ProcessLimiter>();
  /** Limiters of upstreams whose collector does not answer. */
  readonly #unanswered = new Map<string, ProcessLimiter>();
  /** Denials by upstream. */
  readonly #denials = new Map<string, Denial>();

  constructor(opts: RequestPermitsOptions) {
    this.#opts = opts;
  }

  /** Asks for a permit to send one request; true if it may be sent. */
  async ask(
    upstream: UpstreamEntry,
    request: PermitRequest,
  ): Promise<boolean> {
    const { collectors, notices, self } = this.#opts;
    if (notices.maxRequestsPerS(upstream) === undefined) return true;
    const collector = collectors.of(upstream.id);
    const waitMs = collector === self
      ? this.#take(this.#collected, { upstream, request })
      : await this.#askCollector(collector, { upstream, request });
    if (waitMs === 0) return true;
    const now = this.#opts.timer.monotonicNow();
    const until = now + Math.min(MAX_DENIAL_MS, waitMs);
    const { id, startedAt } = upstream;
    this.#denials.set(id, { startedAt, until, weight: request.weight });
    return false;
  }

  /** Answers a sibling that takes this front for the collector. */
  answer({ upstream, request, notice }: PermitQuery): PermitReply {
    this.#recordNotice(notice);
    const waitMs = this.#take(this.#collected, { upstream, request });
    return { waitMs, notice: this.#sharedNotice(upstream) };
  }

  /**
   * Time until a permit may be available for a request of this weight, in ms; 0
   * if one may be now.
   */
  waitMs(upstream: UpstreamEntry, weight: number): number {
    const denial = this.#denials.get(upstream.id);
    const isDenied = denial?.startedAt === upstream.startedAt;
    if (!isDenied || weight > denial.weight) return 0;
    const isLimited =
      this.#opts.notices.maxRequestsPerS(upstream) !== undefined;
    if (!isLimited) return 0;
    return Math.max(0, denial.until - this.#opts.timer.monotonicNow());
  }

  /** Drops the state of upstreams that are not registered any more. */
  retain(isRegistered: (id: string) => boolean): void {
    for (
      const state of [
        this.#collected,
        this.#unanswered,
        this.#denials,
      ]
    ) {
      for (const id of state.keys()) {
        if (!isRegistered(id)) state.delete(id);
      }
    }
  }

  async #askCollector(
    collector: string,
    { upstream, request }: { upstream: UpstreamEntry; request: PermitRequest },
  ): Promise<number> {
    const { links, log } = this.#opts;
    const notice = this.#sharedNotice(upstream);
    if (!notice) return 0;
    try {
      const query = { upstream, request, notice };
      const reply = await links.queryPermit(collector, query, QUERY_TIMEOUT_MS);
      this.#recordNotice(reply.notice);
      this.#unanswered.delete(upstream.id);
      return toWaitMs(reply.waitMs);
    } catch (err) {
      log.debug(`permit query to front ${collector} failed: ${String(err)}`);
      return this.#take(this.#unanswered, { upstream, request });
    }
  }

  /** Takes a token from the limiter of an upstream; returns the wait in ms. */
  #take(
    limiters: Map<string, ProcessLimiter>,
    { upstream, request }: { upstream: UpstreamEntry; request: PermitRequest },
  ): number {
    const { notices, share, timer } = this.#opts;
    const limitPerS = notices.maxRequestsPerS(upstream);
    if (limitPerS === undefined) return 0;
    const now = timer.monotonicNow();
    const limiter = limiterOf(limiters, upstream, now);
    const fraction = limiters === this.#unanswered
      ? UNANSWERED_FRACTION * share.own
      : share.connected;
    const ratePerS = Math.max(MIN_RATE_PER_S, limitPerS) * fraction;
    return limiter.take(request, { ratePerS, now });
  }

  /** Records a sibling's notice, if there is a usable one. */
  #recordNotice(shared: SharedNotice | undefined): void {
    const { notices, timer } = this.#opts;
    const notice = fromSharedNotice(shared, timer.monotonicNow());
    if (notice) notices.record(notice);
  }

  #sharedNotice(upstream: UpstreamEntry) {
    const notice = this.#opts.notices.get(upstream);
    return notice && toSharedNotice(notice, this.#opts.timer.monotonicNow());
  }
}

/** Returns a wait that a sibling has named, bounded; any other is the longest. */
function toWaitMs(value: unknown): number {
  const isNumber = typeof value === "number" && value >= 0;
  return isNumber ? Math.min(MAX_DENIAL_MS, value) : MAX_DENIAL_MS;
}

/**
 * Returns the limiter of an upstream. A later process gets a new one; a front
 * that has not heard of it yet takes from the new one too.
 */
function limiterOf(
  limiters: Map<string, ProcessLimiter>,
  { id, startedAt }: UpstreamEntry,
  now: number,
): RateLimiter {
  const known = limiters.get(id);
  if (known && known.startedAt >= startedAt) return known.limiter;
  const limiter = new RateLimiter(now);
  limiters.set(id, { startedAt, limiter });
  return limiter;
}
