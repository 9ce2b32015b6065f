import type { LoggerFactory } from "@toucantrestle/log";
import { RetryBudget } from "@toucantrestle/policy";
import type { CallContext } from "./call_context.ts";
import type { ChildBudgets } from "./child_budgets.ts";
import type { OwnedShard } from "./owned_shard.ts";
import { ChunkBuffer } from "./chunk_buffer.ts";
import { ProgramCalls } from "./program_calls.ts";
import { Reaper } from "./reaper.ts";

/** Components that the daemon provides for serving calls. */
export interface CallsOptions
  extends Omit<CallContext, "retryBudget" | "chunkBuffer"> {
  childBudgets: ChildBudgets;
  shards: ReadonlyMap<number, OwnedShard>;
  logs: LoggerFactory;
}

/** Creates and connects the components that serve requests of owned programs. */
export function setUpCalls(opts: CallsOptions): ProgramCalls {
  const { childBudgets, shards, logs, ...components } = opts;
  const ctx: CallContext = {
    ...components,
    retryBudget: new RetryBudget(),
    chunkBuffer: new ChunkBuffer(components.timer),
  };
  const log = logs("reaper");
  const reaper = new Reaper({ ...ctx, childBudgets, shards, log });
  return new ProgramCalls({ ctx, childBudgets, reaper });
}
