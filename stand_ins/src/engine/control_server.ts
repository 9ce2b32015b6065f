import * as z from "zod";
import { type AppRequest, type AppRoutes, sendJson } from "../http/app.ts";
import type { EngineLoad, EngineModel } from "./engine_model.ts";
import type { CacheChange } from "./prefix_cache.ts";
import type { EngineSettings } from "./settings.ts";

/** Load at a point in time. Load reports return a sample of age `loadLagMs`. */
interface LoadSample {
  sampledAt: number;
  load: EngineLoad;
}

/** A cache change, reported by `/control/cache_events` after `eventLagMs`. */
interface RecordedChange {
  recordedAt: number;
  change: CacheChange;
}

/** A received order to load or unload a model, recorded for `GET /orders`. */
interface OrderRecord {
  /** Fencing token of the sender. */
  fence: number;
  action: string;
  model: string;
  accepted: boolean;
  at: number;
}

const orderSchema = z.object({
  fence: z.number().int(),
  action: z.enum(["load", "unload"]),
  model: z.string(),
  weights_mb: z.number().default(0),
});

const programSchema = z.object({ program: z.string() });
const MAX_LOAD_SAMPLES = 200;
const RETAINED_CHANGES = 10_000;
const MB_PER_PART = 100;
const PART_RETRY_DELAY_MS = 50;

/**
 * Control endpoints of an engine: load, cache events, pins, cache transfer and
 * orders.
 */
export class ControlServer {
  readonly #model: EngineModel;
  readonly #settings: EngineSettings;
  readonly #models: Set<string>;
  readonly #loadSamples: LoadSample[] = [];
  readonly #orders: OrderRecord[] = [];
  #changes: RecordedChange[] = [];
  #highestFence = 0;

  constructor(
    opts: {
      model: EngineModel;
      settings: EngineSettings;
      models: Set<string>;
    },
  ) {
    this.#model = opts.model;
    this.#settings = opts.settings;
    this.#models = opts.models;
    this.#model.cache.onChange((change) => this.#recordChange(change));
  }

  /** Records a load sample, which load reports return after a delay. */
  sampleLoad(now: number): void {
    this.#loadSamples.push({ sampledAt: now, load: this.#model.load() });
    if (this.#loadSamples.length > MAX_LOAD_SAMPLES) this.#loadSamples.shift();
  }

  routes(): AppRoutes {
    return {
      "GET /control/load": () => this.#loadReport(),
      "GET /control/cache_events": (input) => this.#cacheEvents(input),
      "GET /control/pins": () => ({ programs: this.#model.cache.keys() }),
      "POST /control/release": ({ body }) => this.#release(body),
      "POST /control/export": ({ body }) => this.#export(body),
      "POST /control/import": ({ body }) => this.#import(body),
      "POST /control/orders": (input) => this.#handleOrder(input),
      "GET /orders": () => ({ orders: this.#orders }),
    };
  }

  #recordChange(change: CacheChange): void {
    const { eventGapEvery } = this.#settings;
    if (eventGapEvery > 0 && change.seq % eventGapEvery === 0) return;
    this.#changes.push({ recordedAt: Date.now(), change });
    if (this.#changes.length > 2 * RETAINED_CHANGES) {
      this.#changes = this.#changes.slice(-RETAINED_CHANGES);
    }
  }

  #loadReport() {
    const cutoff = Date.now() - this.#settings.loadLagMs;
    const sample = this.#loadSamples.findLast((it) => it.sampledAt <= cutoff) ??
      this.#loadSamples[0];
    const load = sample?.load ?? this.#model.load();
    return {
      at: sample?.sampledAt ?? Date.now(),
      running: load.running,
      waiting: load.waiting,
      prefill_tokens: load.prefillTokens,
      cache_used_tokens: load.cacheUsedTokens,
      cache_limit_tokens: this.#model.cache.limitTokens,
      models: [...this.#models],
      can_resume: this.#settings.canResume,
      software_version: this.#settings.softwareVersion || undefined,
      highest_fence: this.#highestFence,
    };
  }

  #cacheEvents({ query }: AppRequest) {
    const after = Number(query.get("after") ?? 0);
    const cutoff = Date.now() - this.#settings.eventLagMs;
    const events = this.#changes
      .filter((it) => it.change.seq > after && it.recordedAt <= cutoff)
      .map((it) => it.change);
    return { events };
  }

  #release(body: unknown) {
    const { program } = programSchema.parse(body);
    this.#model.cache.release(program);
    return { released: this.#model.cache.cachedTokens(program) === 0 };
  }

  #export(body: unknown) {
    const { program } = programSchema.parse(body);
    return { program, tokens: this.#model.cache.cachedTokens(program) };
  }

  #import(body: unknown) {
    const schema = programSchema.extend({ tokens: z.number().int() });
    const { program, tokens } = schema.parse(body);
    this.#model.cache.store(program, tokens, Date.now());
    return { ok: true };
  }

  async #handleOrder({ res, body }: AppRequest): Promise<unknown> {
    const order = orderSchema.parse(body);
    const isStale = order.fence < this.#highestFence;
    const accepted = !isStale || !this.#settings.checksOrders;
    this.#orders.push({
      fence: order.fence,
      action: order.action,
      model: order.model,
      accepted,
      at: Date.now(),
    });
    if (!accepted) {
      return sendJson(res, 409, { highest_fence: this.#highestFence });
    }
    this.#highestFence = Math.max(this.#highestFence, order.fence);
    if (order.action === "unload") this.#models.delete(order.model);
    else {
      await this.#fetchWeights(order.model, order.weights_mb);
      this.#models.add(order.model);
    }
    return { models: [...this.#models] };
  }

  async #fetchWeights(model: string, mb: number): Promise<void> {
    const { weightStoreUrl } = this.#settings;
    if (weightStoreUrl === "") return;
    for (let part = 0; part * MB_PER_PART < mb; part++) {
      const url = `${weightStoreUrl}/v1/weights/${model}/parts/${part}`;
      while ((await fetch(url)).status === 429) {
        await new Promise((resolve) =>
          setTimeout(resolve, PART_RETRY_DELAY_MS)
        );
      }
    }
  }
}
