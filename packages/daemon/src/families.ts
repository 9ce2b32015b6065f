import { availableTokens } from "@toucantrestle/program";
import { shardOfProgram } from "@toucantrestle/membership";
import type { SiblingNet } from "@toucantrestle/sibling";
import { BudgetError, ConflictError } from "@toucantrestle/verdict";
import { requireLedger } from "./call_context.ts";
import { relocated } from "./errors.ts";
import type { Journal } from "./journal.ts";
import type { Ownership } from "./ownership.ts";
import type { StoreView } from "./store_view.ts";

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
  readonly #ownership: Ownership;
  readonly #view: StoreView;
  readonly #net: () => SiblingNet;

  constructor(
    opts: {
      journal: Journal;
      ownership: Ownership;
      view: StoreView;
      net: () => SiblingNet;
    },
  ) {
    this.#journal = opts.journal;
    this.#ownership = opts.ownership;
    this.#view = opts.view;
    this.#net = opts.net;
  }

  /** Carves a sub-agent's budget out of its parent's, wherever that is. */
  async reserve(args: ChildReservation): Promise<void> {
    const shard = shardOfProgram(args.parent) ?? 0;
    if (this.#ownership.serving(shard)) return await this.reserveHere(args);
    const session = this.#net().requireSession(this.#ownerOf(shard));
    await session.rpc("reserve_child", args, RPC_TIMEOUT_MS);
  }

  /** Gives back what an ended sub-agent did not spend. */
  async settle(
    args: { parent: string; child: string; spentTokens: number },
  ): Promise<void> {
    const shard = shardOfProgram(args.parent) ?? 0;
    if (this.#ownership.serving(shard)) return await this.settleHere(args);
    const session = this.#net().requireSession(this.#ownerOf(shard));
    await session.rpc("settle_child", args, RPC_TIMEOUT_MS);
  }

  /**
   * Carves a sub-agent's budget out of a program that is owned here.
   *
   * @throws {BudgetError} when the parent has less left
   */
  async reserveHere(args: ChildReservation): Promise<void> {
    const number = shardOfProgram(args.parent) ?? 0;
    const shard = this.#ownership.serving(number);
    if (!shard) throw relocated(number, "not_run");
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
    const number = shardOfProgram(args.parent) ?? 0;
    const shard = this.#ownership.serving(number);
    if (!shard) throw relocated(number, "not_run");
    await this.#journal.keep(shard, {
      kind: "child_settled",
      program: args.parent,
      child: args.child,
      spentTokens: args.spentTokens,
    });
  }

  #ownerOf(shard: number) {
    const known = this.#view.shards.get(shard);
    if (!known) throw relocated(shard, "not_run");
    return known.record.owner;
  }
}
