import { shardOfProgram } from "@toucantrestle/membership";
import type { OutgoingSession, SiblingNet } from "@toucantrestle/sibling";
import { relocated } from "./errors.ts";
import type { OwnedShard } from "./owned_shard.ts";
import type { Ownership } from "./ownership.ts";
import type { StoreView } from "./store_view.ts";

/** Finds who owns a program: this daemon, or another one to be asked. */
export class OwnerRoute {
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

  /** Whether this daemon serves a program now. */
  isHere(program: string): boolean {
    return this.#opts.ownership.serving(shardOf(program)) !== undefined;
  }

  /**
   * Shard of a program that is owned here.
   *
   * @throws {RequestError} when another daemon owns it
   */
  here(program: string): OwnedShard {
    const number = shardOf(program);
    const shard = this.#opts.ownership.serving(number);
    if (!shard) throw relocated(number, "not_run");
    return shard;
  }

  /**
   * Session to the daemon that owns a program.
   *
   * @throws {RequestError} when no owner is known
   */
  session(program: string): OutgoingSession {
    const number = shardOf(program);
    const owner = this.#opts.view.shards.get(number)?.record.owner;
    if (!owner) throw relocated(number, "not_run");
    return this.#opts.net().requireSession(owner);
  }
}

function shardOf(program: string): number {
  return shardOfProgram(program) ?? 0;
}
