import { availableTokens } from "@toucantrestle/program";
import { BudgetError, ConflictError } from "@toucantrestle/verdict";
import { requireLedger } from "./call_context.ts";
import type { Journal } from "./journal.ts";
import type { OwnerLookup } from "./owner_lookup.ts";

/** Request to reserve part of a parent's budget for a sub-agent. */
export interface ChildReservation {
  parent: string;
  child: string;
  caller: string;
  tokens: number;
}

const RPC_TIMEOUT_MS = 2_000;

/**
 * Reserves budget of programs for their sub-agents and settles it afterwards.
 * Parent and sub-agent may be owned by different daemons.
 */
export class ChildBudgets {
  readonly #journal: Journal;
  readonly #ownerLookup: OwnerLookup;

  constructor(opts: { journal: Journal; ownerLookup: OwnerLookup }) {
    this.#journal = opts.journal;
    this.#ownerLookup = opts.ownerLookup;
  }

  /** Reserves a sub-agent's budget at the daemon that owns its parent. */
  async reserve(args: ChildReservation): Promise<void> {
    if (this.#ownerLookup.isLocal(args.parent)) {
      return await this.reserveLocally(args);
    }
    const session = this.#ownerLookup.requireSession(args.parent);
    await session.rpc("reserve_child", args, RPC_TIMEOUT_MS);
  }

  /** Returns the unspent budget of an ended sub-agent to its parent. */
  async settle(
    args: { parent: string; child: string; spentTokens: number },
  ): Promise<void> {
    if (this.#ownerLookup.isLocal(args.parent)) {
      return await this.settleLocally(args);
    }
    const session = this.#ownerLookup.requireSession(args.parent);
    await session.rpc("settle_child", args, RPC_TIMEOUT_MS);
  }

  /**
   * Reserves a sub-agent's budget in a program that this daemon owns.
   *
   * @throws {BudgetError} if the parent has fewer tokens available
   */
  async reserveLocally(args: ChildReservation): Promise<void> {
    const shard = this.#ownerLookup.requireLocalShard(args.parent);
    const ledger = requireLedger(shard, args.parent, args.caller);
    const isReserved = ledger.children.some((it) => it.child === args.child);
    if (isReserved) return await this.#journal.commitAll(shard);
    if (ledger.state === "ended") {
      throw new ConflictError(`program ${args.parent} has ended`);
    }
    const available = availableTokens(ledger);
    if (args.tokens > available) {
      throw new BudgetError(
        `sub-agent ${args.child} requested ${args.tokens} tokens, but program ${args.parent} has ${available} available`,
      );
    }
    await this.#journal.commit(shard, {
      kind: "child_reserved",
      program: args.parent,
      child: args.child,
      tokens: args.tokens,
    });
  }

  /** Settles a sub-agent's budget in a program that this daemon owns. */
  async settleLocally(
    args: { parent: string; child: string; spentTokens: number },
  ): Promise<void> {
    const shard = this.#ownerLookup.requireLocalShard(args.parent);
    await this.#journal.commit(shard, {
      kind: "child_settled",
      program: args.parent,
      child: args.child,
      spentTokens: args.spentTokens,
    });
  }
}
