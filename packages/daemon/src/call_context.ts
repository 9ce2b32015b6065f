import type { Ledger, Outcome } from "@toucantrestle/program";
import type { TableView } from "@toucantrestle/table";
import type { Timeline } from "@toucantrestle/timeline";
import type { Timer } from "@toucantrestle/timer";
import type { Metrics } from "@toucantrestle/metrics";
import type { RetryBudget } from "@toucantrestle/policy";
import { NotFoundError } from "@toucantrestle/verdict";
import type { DispatchDesk } from "./dispatch_desk.ts";
import type { Isolation } from "./isolation.ts";
import type { Journal } from "./journal.ts";
import type { LoadReader } from "./load_reader.ts";
import type { OwnedShard } from "./owned_shard.ts";
import type { PieceBuffer } from "./piece_buffer.ts";
import type { Upstreams } from "./upstreams.ts";

/** The real outcome of a call, after its caller was told a verdict. */
export interface LateOutcome {
  program: string;
  step: number;
  requestId: string;
  outcome: Outcome;
}

/** Parts that running a call needs. */
export interface CallContext {
  timer: Timer;
  timeline: Timeline;
  metrics: Metrics;
  journal: Journal;
  desk: DispatchDesk;
  upstreams: Upstreams;
  loads: LoadReader;
  retries: RetryBudget;
  pieces: PieceBuffer;
  isolation: Isolation;
  table: () => TableView;
  /** Records the real outcome of a call whose verdict was given before. */
  reportLate: (late: LateOutcome) => void;
}

/**
 * Finds a program that belongs to a caller. Another caller's program is not
 * told from one that does not exist.
 *
 * @throws {NotFoundError} when there is none
 */
export function requireLedger(
  shard: OwnedShard,
  program: string,
  caller: string,
): Ledger {
  const ledger = shard.ledgers.get(program);
  if (ledger && ledger.caller === caller) return ledger;
  throw new NotFoundError(`program "${program}" is not known`);
}
