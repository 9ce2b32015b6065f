import type { Labels } from "./metrics.ts";

/** Options of `LabelSets`. */
export interface LabelSetsOptions {
  /** Most sets of labels of one metric. */
  maxSets: number;
  /** Called once for each metric that has more. */
  onFull: (name: string) => void;
}

/** Value of all labels of the sets beyond the most. */
const OTHER = "other";

/**
 * Bounds the sets of labels of each metric, which are kept as long as the
 * process runs, as some values come from callers.
 */
export class LabelSets {
  readonly #opts: LabelSetsOptions;
  /** Values of the labels of each set, by metric. */
  readonly #known = new Map<string, Set<string>>();
  /** Metrics with more sets than are kept. */
  readonly #full = new Set<string>();

  constructor(opts: LabelSetsOptions) {
    this.#opts = opts;
  }

  /** Returns the labels to count under: those given, or one set for the rest. */
  admit(name: string, labels: Labels): Labels {
    const values = Object.values(labels);
    if (values.length === 0) return labels;
    let known = this.#known.get(name);
    if (!known) {
      known = new Set();
      this.#known.set(name, known);
    }
    const key = values.join("\0");
    if (known.has(key)) return labels;
    if (known.size < this.#opts.maxSets) {
      known.add(key);
      return labels;
    }
    this.#reportFull(name);
    return Object.fromEntries(Object.keys(labels).map((it) => [it, OTHER]));
  }

  #reportFull(name: string): void {
    if (this.#full.has(name)) return;
    this.#full.add(name);
    this.#opts.onFull(name);
  }
}
