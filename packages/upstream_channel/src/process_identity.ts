import type { Timer } from "@toucantrestle/timer";
import type { OutgoingRequest, ResponseHead } from "./exchange.ts";

/** What an answer says about the process that gives it. */
export type ProcessAnswer =
  /** It has this name, which no other process of the upstream has. */
  | { kind: "name"; name: string }
  /** It does not name itself there. */
  | { kind: "none" }
  /** There is no answer, or it does not count. */
  | { kind: "unknown" };

/** A request whose answer may name the process. */
export interface ProcessQuestion {
  createRequest: () => OutgoingRequest;
  parse: (head: ResponseHead, body: Buffer) => ProcessAnswer;
}

/** Options of `ProcessIdentity`. */
export interface ProcessIdentityOptions {
  /** In the order of their worth: where one names nothing, the next is asked. */
  questions: readonly ProcessQuestion[];
  /** Name of the expected process in answers to the first question, if known. */
  expectedName: string | undefined;
  /** Called with the name of a process that runs in place of that one. */
  onOther: (name: string) => void;
  /** Returns whether the entry of a process that starts would be read now. */
  isCurrent: () => boolean;
  timer: Timer;
}

/** What is to be done with a request that only the expected process may get. */
export type IdentityVerdict =
  /** The process at the other end is the expected one. */
  | "proven"
  /** It counts as the expected one, but says nothing. */
  | "trusted"
  | "ask_again"
  | "other_process"
  | "unknown_process";

/**
 * An upstream that restarts has written its entry, and it has been read, after
 * this time in touch with the store.
 */
const SETTLE_MS = 3_000;

/** A name that the process of an upstream has instead of the expected one. */
interface OtherName {
  name: string;
  /** Since when the upstream has had it, in ms. */
  since: number;
}

/**
 * Tells whether the process of an upstream that is at the other end of a
 * connection is the expected one. The name in its entry decides. Without one the
 * process that was connected while the entry was current is the expected one,
 * and the name that it had then decides when its connections have broken.
 */
export class ProcessIdentity {
  readonly #opts: ProcessIdentityOptions;
  #expectedName: string | undefined;
  /** Whether the entry names the process. */
  #isNamedInEntry: boolean;
  #questionIndex = 0;
  /** When the process was last known to be that of the entry, in ms. */
  #currentAt = -Infinity;
  /** When the last open connection broke, in ms. */
  #lostAt = -Infinity;
  /** When the process was last asked for its name, in ms. */
  #askedAt = -Infinity;
  #other: OtherName | undefined;

  constructor(opts: ProcessIdentityOptions) {
    this.#opts = opts;
    this.#expectedName = opts.expectedName;
    this.#isNamedInEntry = opts.expectedName !== undefined;
  }

  /** Question that is asked next; undefined if none of them names the process. */
  get question(): ProcessQuestion | undefined {
    return this.#opts.questions[this.#questionIndex];
  }

  /** Records that a request is sent to the process. */
  recordUse(): void {
    if (this.#isEntryCurrent) this.#currentAt = this.#now;
  }

  /** Records that the last open connection broke. */
  recordLoss(): void {
    this.#lostAt = this.#now;
  }

  /** Returns the verdict on a connection on which nothing was asked yet. */
  verdictUnasked(): IdentityVerdict {
    if (!this.question) {
      const isTrusted = this.#isTrusted || this.#opts.isCurrent();
      return isTrusted ? "trusted" : "unknown_process";
    }
    const isKnown = !this.#isNamedInEntry && this.#askedAt > this.#lostAt;
    return isKnown ? "trusted" : "ask_again";
  }

  /** Returns the verdict on the process that gives an answer. */
  verdictOn(answer: ProcessAnswer): IdentityVerdict {
    if (answer.kind === "none") return this.#recordNoName();
    if (!this.#isNamedInEntry && this.#mayAdopt(answer)) {
      return this.#adopt(answer);
    }
    return this.#compare(answer);
  }

  #recordNoName(): IdentityVerdict {
    this.#questionIndex += 1;
    if (this.#isNamedInEntry) this.#expectedName = undefined;
    this.#isNamedInEntry = false;
    return this.verdictUnasked();
  }

  /** Whether an answer is that of the process of the entry, whatever it is. */
  #mayAdopt(answer: ProcessAnswer): boolean {
    if (this.#expectedName === undefined) return this.#isTrusted;
    const since = this.#otherSince(answer) ?? Infinity;
    return this.#isEntryCurrent && this.#now - since >= SETTLE_MS;
  }

  #adopt(answer: ProcessAnswer): IdentityVerdict {
    this.#askedAt = this.#now;
    if (answer.kind !== "name") return "trusted";
    this.#expectedName = answer.name;
    this.#other = undefined;
    return "proven";
  }

  #compare(answer: ProcessAnswer): IdentityVerdict {
    const isComparable = answer.kind === "name" &&
      this.#expectedName !== undefined;
    if (!isComparable) return "unknown_process";
    if (answer.name === this.#expectedName) return "proven";
    if (this.#isNamedInEntry) this.#opts.onOther(answer.name);
    const since = this.#otherSince(answer) ?? this.#now;
    this.#other = { name: answer.name, since };
    return "other_process";
  }

  /** Since when the process has had another name, in ms, if it still has. */
  #otherSince(answer: ProcessAnswer): number | undefined {
    const isSame = answer.kind === "name" && answer.name === this.#other?.name;
    return isSame ? this.#other?.since : undefined;
  }

  /** Whether the process that is connected counts as that of the entry. */
  get #isTrusted(): boolean {
    return this.#isEntryCurrent || this.#currentAt > this.#lostAt;
  }

  /** Whether the entry would be another one by now after a restart. */
  get #isEntryCurrent(): boolean {
    return this.#opts.isCurrent() && this.#now - this.#lostAt >= SETTLE_MS;
  }

  get #now(): number {
    return this.#opts.timer.monotonicNow();
  }
}
