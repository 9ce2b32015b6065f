/** What one host reports about itself. */
export interface Report<State> {
  host: string;
  /** Higher for a newer report of the same host, also after a restart. */
  version: number;
  /** Neighbours that the host has heard recently. */
  neighbours: string[];
  state: State;
}

/** Keeps the newest report of each host. */
export class ReportTable<State> {
  readonly #reports = new Map<string, Report<State>>();

  get(host: string): Report<State> | undefined {
    return this.#reports.get(host);
  }

  all(): Report<State>[] {
    return [...this.#reports.values()];
  }

  /** Adds a report unless it is known already or outdated. */
  merge(report: Report<State>): boolean {
    const known = this.#reports.get(report.host);
    if (known && known.version >= report.version) return false;
    this.#reports.set(report.host, report);
    return true;
  }

  delete(host: string): void {
    this.#reports.delete(host);
  }

  /**
   * Returns the hosts with a path from the given ones over links that both of
   * their ends report, without `self`. A host that has died or is frozen is
   * reported by none of its neighbours, whatever its own last report says; a
   * single host that hears nobody leaves the paths between the others intact.
   */
  reachableFrom(start: string[], self: string): Set<string> {
    const reached = new Set(start);
    for (const host of reached) {
      for (const next of this.#reports.get(host)?.neighbours ?? []) {
        if (!reached.has(next) && this.#isReporting(next, host)) {
          reached.add(next);
        }
      }
    }
    reached.delete(self);
    return reached;
  }

  #isReporting(host: string, neighbour: string): boolean {
    return this.#reports.get(host)?.neighbours.includes(neighbour) ?? false;
  }
}
