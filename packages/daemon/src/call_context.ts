import type { Ledger, Outcome } from "@toucantrestle/program";
import type { TableView } from "@toucantrestle/table";
import type { Timeline } from "@toucantrestle/timeline";
import type { Timer } from "@toucantrestle/timer";
import type { Metrics } from "@toucantrestle/metrics";
import type { RetryBudget } from "@toucantrestle/policy";
import { NotFoundError } from "@toucantrestle/verdict";
import type { PlacementQueue } from "./placement_queue.ts";
import type { Isolation } from "./isolation.ts";
import type { Journal } from "./journal.ts";
import type { LoadReader } from "./load_reader.ts";
import type { OwnedShard } from "./owned_shard.ts";
import type { ChunkBuffer } from "./chunk_buffer.ts";
import type { Upstreams } from "./upstreams.ts";

/** Outcome of a call that became known after its caller received a verdict. */
export interface LateOutcome {
  program: string;
  step: number;
  requestId: string;
  outcome: Outcome;
}

/** Components that are used to run calls. */
export interface CallContext {
  timer: Timer;
  timeline: Timeline;
  metrics: Metrics;
  journal: Journal;
  placementQueue: PlacementQueue;
  upstreams: Upstreams;
  loadReader: LoadReader;
  retryBudget: RetryBudget;
  chunkBuffer: ChunkBuffer;
  isolation: Isolation;
  table: () => TableView;
  /** Reports the outcome of a call that has already been given a verdict. */
  reportLateOutcome: (late: LateOutcome) => void;
}

/**
 * Returns the ledger of a caller's program. A program of another caller is
 * reported as unknown, so that callers cannot probe for each other's programs.
 *
 * @throws {NotFoundError} if the caller has no such program
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
