import type { Logger } from "@toucantrestle/log";
import type { Timer } from "@toucantrestle/timer";
import type { ConfigWatcher } from "../config_watcher.ts";
import type { SiblingLinks } from "./sibling_links.ts";

/** Options of `ConfigFetcher`. */
export interface ConfigFetcherOptions {
  configWatcher: ConfigWatcher;
  links: Pick<SiblingLinks, "reach">;
  timer: Timer;
  log: Logger;
}

/** Time for the store to deliver the configuration itself. */
const FETCH_DELAY_MS = 150;
const REQUEST_TIMEOUT_MS = 700;

/** Fetches a newer configuration from the sibling that has announced it. */
export class ConfigFetcher {
  readonly #opts: ConfigFetcherOptions;
  /** The newest configuration that a sibling has announced. */
  #announced = { version: -1, host: "" };
  #isFetching = false;

  constructor(opts: ConfigFetcherOptions) {
    this.#opts = opts;
  }

  /** A sibling has a configuration of this version. */
  announce(version: number, host: string): void {
    if (version <= this.#announced.version) return;
    this.#announced = { version, host };
    this.retry();
  }

  /** Fetches the announced configuration unless it is in effect already. */
  retry(): void {
    if (this.#isFetching || !this.#isBehind) return;
    this.#isFetching = true;
    this.#opts.timer.after(FETCH_DELAY_MS, async () => {
      if (this.#isBehind) await this.#fetch();
      this.#isFetching = false;
    });
  }

  get #isBehind(): boolean {
    const current = this.#opts.configWatcher.config?.version ?? -1;
    return this.#announced.version > current;
  }

  async #fetch(): Promise<void> {
    const { links, configWatcher, log } = this.#opts;
    const { version, host } = this.#announced;
    try {
      const link = await links.reach(host, REQUEST_TIMEOUT_MS);
      const { text } = await link.request("config", {}, REQUEST_TIMEOUT_MS);
      if (text) configWatcher.apply(text, host);
    } catch (err) {
      log.warn(
        `fetching configuration version ${version} from ${host} failed: ` +
          String(err),
      );
    }
  }
}
