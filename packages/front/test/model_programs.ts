import { TokenBucket } from "@toucantrestle/policy";
import type { Quota } from "@toucantrestle/quota";
import type { ModelQuotaFleet } from "./model_quota_fleet.ts";

/** A program sends its requests one after the other. */
interface Program {
  organisation: string;
  left: number;
  isFirst: boolean;
  front: string;
  dueAt: number;
}

const MEAN_REQUESTS = 17.5;
const MIN_REQUESTS = 5;
const REQUEST_SPREAD = 26;
/** Mean time between two requests of a program, in ms. */
const MEAN_GAP_MS = 400;
/** Normal usage as a part of the quota. */
const NORMAL_USAGE = 1 / 1.6;
const MS_PER_S = 1_000;

/** Programs of organisations, which send requests to random fronts. */
export class ModelPrograms {
  readonly #fleet: ModelQuotaFleet;
  readonly #quotas: ReadonlyMap<string, Quota>;
  readonly #keepsFront: boolean;
  readonly #buckets = new Map<string, TokenBucket>();
  #programs: Program[] = [];
  #lastAt: number;
  /** Usage of an organisation as a multiple of its normal one. */
  readonly factors = new Map<string, number>();
  readonly sent = new Map<string, number>();
  readonly denied = new Map<string, number>();

  constructor(
    fleet: ModelQuotaFleet,
    { quotas, keepsFront }: {
      quotas: ReadonlyMap<string, Quota>;
      /** Whether a program sends all its requests to one front. */
      keepsFront: boolean;
    },
  ) {
    this.#fleet = fleet;
    this.#quotas = quotas;
    this.#keepsFront = keepsFront;
    this.#lastAt = fleet.now;
  }

  /** Sends the requests that are due. */
  step(): void {
    const { now } = this.#fleet;
    const elapsedS = (now - this.#lastAt) / MS_PER_S;
    this.#lastAt = now;
    for (const [organisation, { ratePerS }] of this.#quotas) {
      const factor = this.factors.get(organisation) ?? 1;
      const startsPerS = ratePerS * NORMAL_USAGE * factor / MEAN_REQUESTS;
      if (this.#fleet.random() < startsPerS * elapsedS) {
        this.#start(organisation);
      }
    }
    const due = this.#programs.filter((it) =>
      it.dueAt <= now && this.#isWithinQuota(it.organisation)
    );
    for (const program of due) void this.#send(program);
    if (due.length > 0) {
      this.#programs = this.#programs.filter((it) => it.left > 0);
    }
  }

  #randomFront(): string {
    const { names, random } = this.#fleet;
    return names[Math.floor(random() * names.length)] ?? "";
  }

  /** Takes a token of the exact quota, which an overloading one disregards. */
  #isWithinQuota(organisation: string): boolean {
    const quota = this.#quotas.get(organisation);
    if (!quota || (this.factors.get(organisation) ?? 1) > 1) return true;
    const { ratePerS } = quota;
    const { now } = this.#fleet;
    const max = Math.max(1, quota.burst);
    const bucket = this.#buckets.get(organisation) ??
      new TokenBucket({ tokens: max, now });
    this.#buckets.set(organisation, bucket);
    bucket.refill({ ratePerS, max, now });
    if (bucket.tokens < 1) return false;
    bucket.take(1);
    return true;
  }

  #start(organisation: string): void {
    const left = MIN_REQUESTS +
      Math.floor(this.#fleet.random() * REQUEST_SPREAD);
    const dueAt = this.#fleet.now;
    const front = this.#randomFront();
    this.#programs.push({ organisation, left, isFirst: true, front, dueAt });
  }

  async #send(program: Program): Promise<void> {
    const { now, random } = this.#fleet;
    const { organisation } = program;
    if (!this.#keepsFront) program.front = this.#randomFront();
    const { front } = program;
    const kind = program.isFirst ? "new" : "continued";
    program.left -= 1;
    program.isFirst = false;
    program.dueAt = now + MEAN_GAP_MS * (0.5 + random());
    const result = await this.#fleet.request(front, organisation, kind);
    if (result === undefined) return;
    add(this.sent, organisation);
    if (result !== "denied") return;
    add(this.denied, organisation);
    // A program whose first request is refused is not begun.
    if (kind === "new") program.left = 0;
  }
}

function add(counts: Map<string, number>, name: string): void {
  counts.set(name, (counts.get(name) ?? 0) + 1);
}

/** Returns the sum of the counts but those of one organisation. */
export function totalWithout(
  counts: ReadonlyMap<string, number>,
  excluded = "",
): number {
  let total = 0;
  for (const [name, count] of counts) if (name !== excluded) total += count;
  return total;
}
