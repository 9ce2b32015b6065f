/** Upstreams that a request may crash before it is refused everywhere. */
const MAX_CRASHES = 2;
/** Suspicions are remembered for this long. */
const MEMORY_MS = 120_000;

interface Suspicion {
  upstreams: Set<string>;
  at: number;
}

/** Requests that crashed the upstreams they ran on, by fingerprint. */
export class CrashList {
  readonly #suspicions = new Map<string, Suspicion>();

  /** Notes that an upstream died while it ran the request. */
  note(fingerprint: string, upstream: string, now: number): void {
    const known = this.#suspicions.get(fingerprint);
    const upstreams = known?.upstreams ?? new Set<string>();
    // News that siblings pass around must not stay young.
    if (upstreams.has(upstream)) return;
    upstreams.add(upstream);
    this.#suspicions.set(fingerprint, { upstreams, at: now });
  }

  /** Whether the request has crashed too many upstreams to be tried again. */
  isConvicted(fingerprint: string, now: number): boolean {
    const known = this.#suspicions.get(fingerprint);
    if (!known || now - known.at > MEMORY_MS) return false;
    return known.upstreams.size > MAX_CRASHES;
  }

  /** Suspicions that were noted since `since`, for siblings. */
  since(since: number): { fingerprint: string; upstreams: string[] }[] {
    return [...this.#suspicions]
      .filter(([, it]) => it.at >= since)
      .map(([fingerprint, it]) => ({
        fingerprint,
        upstreams: [...it.upstreams],
      }));
  }

  /** Forgets what is old. */
  sweep(now: number): void {
    for (const [fingerprint, it] of this.#suspicions) {
      if (now - it.at > MEMORY_MS) this.#suspicions.delete(fingerprint);
    }
  }
}
