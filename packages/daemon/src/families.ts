import { availableTokens } from "@toucantrestle/program";
import { BudgetError, ConflictError } from "@toucantrestle/verdict";
import { requireLedger } from "./call_context.ts";
import type { Journal } from "./journal.ts";
import type { OwnerRoute } from "./owner_route.ts";

/** A sub-agent's request for part of its parent's budget. */
export interface ChildReservation {
  parent: string;
  child: string;
  caller: string;
  tokens: number;
}

const RPC_TIMEOUT_MS = 2_000;

/** Moves budget between programs and their sub-agents, across owners. */
export class Families {
  readonly #journal: Journal;
  readonly #owners: OwnerRoute;

  constructor(opts: { journal: Journal; owners: OwnerRoute }) {
    this.#journal = opts.journal;
    this.#owners = opts.owners;
  }

  /** Carves a sub-agent's budget out of its parent's, wherever that is. */
  async reserve(args: ChildReservation): Promise<void> {
    if (this.#owners.isHere(args.parent)) return await this.reserveHere(args);
    const session = this.#owners.session(args.parent);
    await session.rpc("reserve_child", args, RPC_TIMEOUT_MS);
  }

  /** Gives back what an ended sub-agent did not spend. */
  async settle(
    args: { parent: string; child: string; spentTokens: number },
  ): Promise<void> {
    if (this.#owners.isHere(args.parent)) return await this.settleHere(args);
    const session = this.#owners.session(args.parent);
    await session.rpc("settle_child", args, RPC_TIMEOUT_MS);
  }

  /**
   * Carves a sub-agent's budget out of a program that is owned here.
   *
   * @throws {BudgetError} when the parent has less left
   */
  async reserveHere(args: ChildReservation): Promise<void> {
    const shard = this.#owners.here(args.parent);
    const ledger = requireLedger(shard, args.parent, args.caller);
    const known = ledger.children.some((it) => it.child === args.child);
    if (known) return await this.#journal.keepAll(shard);
    if (ledger.state === "ended") {
      throw new ConflictError(`program ${args.parent} has ended`);
    }
    const available = availableTokens(ledger);
    if (args.tokens > available) {
      throw new BudgetError(
        `the sub-agent asks for ${args.tokens} tokens and program ${args.parent} has ${available} left`,
      );
    }
    await this.#journal.keep(shard, {
      kind: "child_reserved",
      program: args.parent,
      child: args.child,
      tokens: args.tokens,
    });
  }

  /** Settles a sub-agent of a program that is owned here. */
  async settleHere(
    args: { parent: string; child: string; spentTokens: number },
  ): Promise<void> {
    const shard = this.#owners.here(args.parent);
    await this.#journal.keep(shard, {
      kind: "child_settled",
      program: args.parent,
      child: args.child,
      spentTokens: args.spentTokens,
    });
  }
}
