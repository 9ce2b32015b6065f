import type { Logger } from "@toucantrestle/log";
import type { Timer } from "@toucantrestle/timer";
import type { Flusher } from "./flusher.ts";
import type { OwnedShard } from "./owned_shard.ts";
import type { StoreView } from "./store_view.ts";
import type { Takeover } from "./takeover.ts";

const CHECK_INTERVAL_MS = 5_000;
/** Number of chunks above which a shard is compacted. */
const MAX_CHUNKS = 120;

/** Replaces the journal chunks of a shard by a snapshot of its state. */
export class Compactor {
  readonly #flusher: Flusher;
  readonly #takeover: Takeover;
  readonly #view: StoreView;
  readonly #log: Logger;
  readonly #shards: ReadonlyMap<number, OwnedShard>;
  #isCompacting = false;

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
    opts.timer.every(CHECK_INTERVAL_MS, () => this.#compactIfNeeded());
  }

  #compactIfNeeded(): void {
    if (this.#isCompacting) return;
    const shard = [...this.#shards.values()].find(isCompactionDue);
    if (!shard) return;
    this.#isCompacting = true;
    this.#compact(shard)
      .catch((err: unknown) => {
        this.#log.warn(`failed to compact shard ${shard.shard}: ${err}`);
      })
      .finally(() => {
        this.#isCompacting = false;
      });
  }

  async #compact(shard: OwnedShard): Promise<void> {
    await this.#flusher.flushAll();
    const firstChunk = shard.nextChunk;
    shard.appendSnapshot();
    await this.#flusher.flushAll();
    if (shard.state !== "serving" || shard.nextChunk === firstChunk) return;
    const updated = await this.#takeover.dropChunks(shard, firstChunk);
    if (!updated) return;
    shard.record = updated.record;
    shard.modRevision = updated.modRevision;
    this.#view.updateShard(updated.record, updated.modRevision);
    this.#log.debug(
      `compacted shard ${shard.shard}: chunks before ${firstChunk} were deleted`,
    );
  }
}

function isCompactionDue(shard: OwnedShard): boolean {
  return shard.state === "serving" &&
    shard.nextChunk - shard.record.firstChunk > MAX_CHUNKS;
}
