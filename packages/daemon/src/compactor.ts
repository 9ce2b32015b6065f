import type { Logger } from "@toucantrestle/log";
import type { Timer } from "@toucantrestle/timer";
import type { Flusher } from "./flusher.ts";
import type { OwnedShard } from "./owned_shard.ts";
import type { StoreView } from "./store_view.ts";
import type { Takeover } from "./takeover.ts";

const CHECK_MS = 5_000;
/** Chunks of a shard after which its state is written anew. */
const MAX_CHUNKS = 120;

/** Replaces the chunks of a shard by the state that they add up to. */
export class Compactor {
  readonly #flusher: Flusher;
  readonly #takeover: Takeover;
  readonly #view: StoreView;
  readonly #log: Logger;
  readonly #shards: ReadonlyMap<number, OwnedShard>;
  #isBusy = false;

  constructor(
    opts: {
      flusher: Flusher;
      takeover: Takeover;
      view: StoreView;
      timer: Timer;
      log: Logger;
      shards: ReadonlyMap<number, OwnedShard>;
    },
  ) {
    this.#flusher = opts.flusher;
    this.#takeover = opts.takeover;
    this.#view = opts.view;
    this.#log = opts.log;
    this.#shards = opts.shards;
    opts.timer.every(CHECK_MS, () => this.#check());
  }

  #check(): void {
    if (this.#isBusy) return;
    const shard = [...this.#shards.values()].find(isOvergrown);
    if (!shard) return;
    this.#isBusy = true;
    this.#compact(shard)
      .catch((err: unknown) => {
        this.#log.warn(`shard ${shard.shard} cannot be compacted: ${err}`);
      })
      .finally(() => {
        this.#isBusy = false;
      });
  }

  async #compact(shard: OwnedShard): Promise<void> {
    await this.#flusher.flushAll();
    const firstChunk = shard.nextChunk;
    shard.appendSnapshot();
    await this.#flusher.flushAll();
    if (shard.state !== "serving" || shard.nextChunk === firstChunk) return;
    const known = await this.#takeover.dropChunks(shard, firstChunk);
    if (!known) return;
    shard.record = known.record;
    shard.modRevision = known.modRevision;
    this.#view.takeShard(known.record, known.modRevision);
    this.#log.debug(`shard ${shard.shard} was compacted`);
  }
}

function isOvergrown(shard: OwnedShard): boolean {
  return shard.state === "serving" &&
    shard.nextChunk - shard.record.firstChunk > MAX_CHUNKS;
}
