import {
  type Admission,
  capacityOf,
  type Clocks,
  DEFAULT_BOUNDS,
  LeaseHolder,
  maxInWindow,
  type Quota,
  QuotaAllocator,
  type RequestKind,
  Reserve,
} from "../src/mod.ts";

/** How a front reaches the allocator. */
export type Reach = "answers" | "reply_lost" | "none";

interface ModelHolder {
  name: string;
  boot: number;
  holder: LeaseHolder;
  reserve: Reserve;
  /** Time for which the monotonic clock did not advance, in ms. */
  suspendedMs: number;
  isFrozen: boolean;
  reach: Reach;
  /** Admitted requests that are not sent yet. */
  admitted: Admission[];
}

const NAME = "org";

/** One organisation, its allocators and the fronts that serve it. */
export class ModelSharing {
  now = 0;
  readonly runs: number[] = [];
  readonly #holders: ModelHolder[] = [];
  #allocator: QuotaAllocator;
  #allocators = 0;
  #quota: Quota;

  constructor(opts: { fronts: number; quota: Quota; isFirstStart: boolean }) {
    this.#quota = opts.quota;
    this.#allocator = this.#createAllocator(opts.isFirstStart);
    for (let i = 0; i < opts.fronts; i++) this.#holders.push(this.#create(i));
  }

  get #organisation() {
    return { name: NAME, quota: this.#quota };
  }

  /** Another front becomes the allocator, without what the last one knew. */
  replaceAllocator(): void {
    this.#allocator = this.#createAllocator(false);
  }

  /** Replaces a front by one that has just started. */
  restart(index: number): void {
    const boot = this.#at(index).boot + 1;
    const place = index % this.#holders.length;
    this.#holders[place] = this.#create(place, boot);
  }

  setReach(index: number, reach: Reach): void {
    this.#at(index).reach = reach;
  }

  /** Stops a front; it resumes with a monotonic clock that stood still. */
  freeze(index: number): void {
    this.#at(index).isFrozen = true;
  }

  resume(index: number): void {
    const front = this.#at(index);
    front.isFrozen = false;
    this.#sendAdmitted(front);
  }

  setQuota(quota: Quota): void {
    this.#quota = quota;
    const quotas = new Map([[NAME, quota]]);
    this.#allocator.setQuotas(quotas, this.#time);
    for (const { holder } of this.#holders) holder.setQuotas(quotas);
  }

  /** Advances the time of all fronts but the frozen ones. */
  advance(ms: number): void {
    this.now += ms;
    for (const front of this.#holders) {
      if (front.isFrozen) front.suspendedMs += ms;
      else this.#sendAdmitted(front);
    }
  }

  /** Requests that come to a front; returns how many were refused. */
  request(
    index: number,
    { count, kind }: { count: number; kind: RequestKind },
  ): number {
    const front = this.#at(index);
    if (front.isFrozen) return 0;
    let refused = 0;
    for (let i = 0; i < count; i++) {
      refused += Number(!this.#admit(front, kind));
    }
    return refused;
  }

  /** Sends a query without a request, which returns unused tokens. */
  renew(index: number): void {
    const front = this.#at(index);
    if (!front.isFrozen) this.#ask(front);
  }

  /** Most requests in one window. */
  mostInWindow(since = 0): number {
    const times = this.runs.filter((it) => it >= since);
    let first = 0;
    let most = 0;
    times.forEach((time, i) => {
      while (time - (times[first] ?? 0) >= DEFAULT_BOUNDS.windowMs) first += 1;
      most = Math.max(most, i - first + 1);
    });
    return most;
  }

  get allowedInWindow(): number {
    return maxInWindow(this.#quota, DEFAULT_BOUNDS);
  }

  get capacity(): number {
    return capacityOf(this.#quota, DEFAULT_BOUNDS);
  }

  get #time() {
    return { now: this.now, fraction: 1 };
  }

  #at(index: number): ModelHolder {
    const front = this.#holders[index % this.#holders.length];
    if (!front) throw new Error("no front");
    return front;
  }

  #create(index: number, boot = 0): ModelHolder {
    const name = `front-${index}`;
    const self = `${name}/${boot}`;
    const bounds = DEFAULT_BOUNDS;
    return {
      name,
      boot,
      holder: new LeaseHolder({ bounds, self, random: () => 0.5 }),
      reserve: new Reserve({ bounds, self: name }),
      suspendedMs: 0,
      isFrozen: false,
      reach: "answers",
      admitted: [],
    };
  }

  #createAllocator(isFirstStart: boolean): QuotaAllocator {
    this.#allocators += 1;
    const allocator = new QuotaAllocator({
      bounds: DEFAULT_BOUNDS,
      self: `allocator-${this.#allocators}`,
      isFirstStart,
    });
    allocator.setQuotas(new Map([[NAME, this.#quota]]), this.#time);
    allocator.own(0, this.now);
    return allocator;
  }

  #clocks({ suspendedMs }: ModelHolder): Clocks {
    return { monotonic: this.now - suspendedMs, wall: this.now };
  }

  #admit(front: ModelHolder, kind: RequestKind): boolean {
    const clocks = this.#clocks(front);
    const decide = () =>
      front.holder.decide(this.#organisation, { kind, clocks });
    let decision = decide();
    if (decision.kind === "ask") {
      front.holder.addWaiting(this.#organisation, { kind, count: 1 });
      const isAnswered = this.#ask(front);
      decision = decide();
      front.holder.addWaiting(this.#organisation, { kind, count: -1 });
      const own = 1 / this.#holders.length;
      const { monotonic: now } = clocks;
      const mayReserve = !isAnswered && decision.kind === "ask" &&
        front.reserve.take(this.#organisation, { own, now });
      if (mayReserve) {
        const admission = front.holder.admitOnReserve(
          this.#organisation,
          clocks,
        );
        front.admitted.push(admission);
        return true;
      }
    }
    if (decision.kind !== "admitted") return false;
    front.admitted.push(decision.admission);
    return true;
  }

  #ask(front: ModelHolder): boolean {
    const clocks = this.#clocks(front);
    const query = front.holder.createQuery(0, clocks);
    if (!query || front.reach === "none") return query === undefined;
    const reply = this.#allocator.answer(query, this.#time);
    if (front.reach === "reply_lost") return false;
    front.holder.accept(query, reply, clocks);
    front.reserve.reset(NAME);
    return true;
  }

  #sendAdmitted(front: ModelHolder): void {
    for (const admission of front.admitted.splice(0)) {
      if (front.holder.use(admission, this.#clocks(front))) {
        this.runs.push(this.now);
      }
    }
  }
}
