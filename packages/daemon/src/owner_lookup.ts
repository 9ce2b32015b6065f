import { shardOfProgram } from "@toucantrestle/membership";
import type { OutgoingSession, SiblingNet } from "@toucantrestle/sibling";
import { createRelocatedError } from "./errors.ts";
import type { OwnedShard } from "./owned_shard.ts";
import type { Ownership } from "./ownership.ts";
import type { StoreView } from "./store_view.ts";

/** Finds the owner of a program: this daemon or a sibling. */
export class OwnerLookup {
  readonly #opts: {
    ownership: Ownership;
    view: StoreView;
    net: () => SiblingNet;
  };

  constructor(
    opts: { ownership: Ownership; view: StoreView; net: () => SiblingNet },
  ) {
    this.#opts = opts;
  }

  /** Whether this daemon currently serves a program. */
  isLocal(program: string): boolean {
    return this.#opts.ownership.getServedShard(shardOf(program)) !== undefined;
  }

  /**
   * Returns the shard of a program that this daemon owns.
   *
   * @throws {RequestError} if this daemon does not serve the shard
   */
  requireLocalShard(program: string): OwnedShard {
    const shardNumber = shardOf(program);
    const shard = this.#opts.ownership.getServedShard(shardNumber);
    if (!shard) throw createRelocatedError(shardNumber, "not_run");
    return shard;
  }

  /**
   * Returns the session to the daemon that owns a program.
   *
   * @throws {RequestError} if no owner is known
   */
  requireSession(program: string): OutgoingSession {
    const shardNumber = shardOf(program);
    const owner = this.#opts.view.shards.get(shardNumber)?.record.owner;
    if (!owner) throw createRelocatedError(shardNumber, "not_run");
    return this.#opts.net().requireSession(owner);
  }
}

function shardOf(program: string): number {
  return shardOfProgram(program) ?? 0;
}
