import { type ConfigStore, listAndWatch } from "@toucantrestle/config_store";
import { Listeners, type Logger } from "@toucantrestle/log";
import type { RoutingConfig } from "@toucantrestle/routing";
import type { Timer } from "@toucantrestle/timer";
import type { Protocol } from "./protocol.ts";

/**
 * Watches the operators' configuration and applies it. The version in effect
 * never decreases.
 */
export class ConfigWatcher {
  readonly #protocol: Protocol;
  readonly #log: Logger;
  readonly #listeners: Listeners<[RoutingConfig]>;
  #config: RoutingConfig | undefined;
  #text = "";
  /** Text of the last invalid configuration, which is logged once. */
  #rejectedText: string | undefined;
  #now: () => number = () => 0;
  /** When the store last confirmed that no newer version exists. */
  #confirmedAt: number | undefined;

  constructor(opts: { protocol: Protocol; log: Logger }) {
    this.#protocol = opts.protocol;
    this.#log = opts.log;
    this.#listeners = new Listeners("configurations", opts.log);
  }

  get config(): RoutingConfig | undefined {
    return this.#config;
  }

  /** Unparsed text of the configuration in effect, which siblings fetch. */
  get text(): string {
    return this.#text;
  }

  /**
   * Time since the store last confirmed that no newer version exists, in ms;
   * infinite before the first time.
   */
  get ageMs(): number {
    if (this.#confirmedAt === undefined) return Infinity;
    return this.#now() - this.#confirmedAt;
  }

  onConfig(fn: (config: RoutingConfig) => void): void {
    this.#listeners.add(fn);
  }

  /** Subscribes to the configuration in the platform's store. */
  start(
    opts: { store: ConfigStore; timer: Timer; maxRetryMs?: () => number },
  ): void {
    const { configKey } = this.#protocol;
    this.#now = () => opts.timer.monotonicNow();
    listAndWatch({
      ...opts,
      prefix: configKey,
      log: this.#log,
      onSnapshot: (items) => {
        for (const item of items) {
          if (item.key === configKey) this.apply(item.value, "store");
        }
      },
      onEvents: (events) => {
        for (const event of events) {
          if (event.kind !== "put" || event.item.key !== configKey) continue;
          this.apply(event.item.value, "store");
        }
      },
      onConfirmed: () => this.#confirmedAt = this.#now(),
    });
  }

  /** Applies a configuration if its version is newer than the current one. */
  apply(text: string, source: string): void {
    if (text === this.#text || text === this.#rejectedText) return;
    let reason = "it cannot be parsed";
    const config = this.#protocol.parseConfig(text, (it) => reason = it);
    if (!config) {
      this.#rejectedText = text;
      this.#log.error(
        `configuration from ${source} is invalid and is ignored: ${reason}`,
      );
      return;
    }
    if (this.#config && config.version <= this.#config.version) return;
    this.#config = config;
    this.#text = text;
    this.#log.info(
      `configuration version ${config.version} from ${source} applied, ` +
        `${config.routes.length} routes`,
    );
    this.#listeners.notify(config);
  }
}
