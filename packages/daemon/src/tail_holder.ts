import type { HostRun, TailStore } from "@toucantrestle/membership";
import type { AppendAck, AppendBatch, Trim } from "@toucantrestle/sibling";

/** Holds the unflushed journal tails of shards that other daemons own. */
export class TailHolder {
  readonly #tails: TailStore;

  constructor(tails: TailStore) {
    this.#tails = tails;
  }

  append(_from: HostRun, { appends }: AppendBatch): AppendAck[] {
    return appends.map((input) => ({
      shard: input.shard,
      log: input.log,
      result: this.#tails.append(input),
    }));
  }

  trim(_from: HostRun, { trims }: Trim): void {
    for (const { shard, log, upTo } of trims) {
      this.#tails.trim(shard, log, upTo);
    }
  }
}
