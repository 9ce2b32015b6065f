import type { LoggerFactory } from "@toucantrestle/log";
import { RetryBudget } from "@toucantrestle/policy";
import type { CallContext } from "./call_context.ts";
import type { Families } from "./families.ts";
import type { OwnedShard } from "./owned_shard.ts";
import { PieceBuffer } from "./piece_buffer.ts";
import { ProgramCalls } from "./program_calls.ts";
import { Reaper } from "./reaper.ts";

/** Parts of serving calls that the daemon has at hand. */
export interface CallsSetup extends Omit<CallContext, "retries" | "pieces"> {
  families: Families;
  shards: ReadonlyMap<number, OwnedShard>;
  logs: LoggerFactory;
}

/** Wires what serves callers' requests at the owner of their program. */
export function setUpCalls(setup: CallsSetup): ProgramCalls {
  const { families, shards, logs, ...parts } = setup;
  const ctx: CallContext = {
    ...parts,
    retries: new RetryBudget(),
    pieces: new PieceBuffer(parts.timer),
  };
  const log = logs("reaper");
  const reaper = new Reaper({ ...ctx, families, shards, log });
  return new ProgramCalls({ ctx, families, reaper });
}
