import type { ConfigStore } from "@toucantrestle/config_store";
import { Fleet, type HostEntry } from "@toucantrestle/fleet";
import { createTimerScope, type TimerScope } from "@toucantrestle/timer";
import type { DamagedDiskError } from "@toucantrestle/turn_journal";
import { TurnStoreServer, type TurnStoreServerOptions } from "./server.ts";
import { openStoreDisk, type StoreDisk } from "./store_disk.ts";

/** Options of a turn store. */
export interface TurnStoreOptions
  extends Omit<TurnStoreServerOptions, "self" | "fleet" | "disk"> {
  /** Entry of this host without the id, which is that of its disk. */
  self: Omit<HostEntry, "id">;
  store: ConfigStore;
  /** Folder that holds the journal and the state file. */
  folder: string;
  /** Size limit of the journal, in bytes. */
  maxBytes: number;
  /** Size limit of damaged files that are kept, in bytes. */
  maxSetAsideBytes: number;
  /** Called with the number of registered hosts when these change. */
  onHostCount: (count: number) => void;
  /** Called if the store cannot go on after its disk was damaged. */
  onFailure: (err: unknown) => void;
}

/** What serves the records of one disk. */
interface Membership {
  disk: StoreDisk;
  fleet: Fleet;
  server: TurnStoreServer;
  timer: TimerScope;
}

/**
 * A turn store with its disk. If that turns out to be damaged, the store leaves
 * and joins as a new one with an empty disk.
 */
export class TurnStore {
  readonly #opts: TurnStoreOptions;
  #membership: Membership | undefined;
  #isStopping = false;

  constructor(opts: TurnStoreOptions) {
    this.#opts = opts;
  }

  /**
   * Opens the disk and begins to serve.
   *
   * @throws {ExitError} if the disk stays unusable
   * @throws {StoppedWaitingError} if the store is stopped meanwhile
   */
  async start(): Promise<void> {
    await this.#join();
  }

  /** Stops the store; see `TurnStoreServer.stop`. */
  async stop(timeoutMs: number): Promise<void> {
    this.#isStopping = true;
    await this.#membership?.server.stop(timeoutMs);
  }

  /** Updates the gauge metrics. */
  reportGauges(): void {
    this.#membership?.server.reportGauges();
  }

  async #join(damage?: DamagedDiskError): Promise<void> {
    const { folder, maxBytes, maxSetAsideBytes, loggers } = this.#opts;
    const disk = await openStoreDisk({
      folder,
      maxBytes,
      maxSetAsideBytes,
      damage,
      timer: this.#opts.timer,
      log: loggers("journal"),
      isStopping: () => this.#isStopping,
    });
    const membership = this.#createMembership(disk);
    const { server, fleet } = membership;
    this.#membership = membership;
    await server.start();
    fleet.start();
    disk.onDamage((it) => this.#rejoin(membership, it));
  }

  #createMembership(disk: StoreDisk): Membership {
    const { store, loggers, onHostCount, isFirstStart } = this.#opts;
    const timer = createTimerScope(this.#opts.timer);
    const self: HostEntry = { id: disk.id, ...this.#opts.self };
    const fleet = new Fleet({ self, store, timer, log: loggers("fleet") });
    fleet.onHostsChanged(() => onHostCount(fleet.hosts.length));
    const server = new TurnStoreServer({
      ...this.#opts,
      self,
      fleet,
      disk,
      timer,
      isFirstStart: isFirstStart && !disk.isReplacement,
    });
    return { disk, fleet, server, timer };
  }

  /** Leaves with the damaged disk, and joins with an empty one. */
  async #rejoin(
    { server, fleet, timer }: Membership,
    damage: DamagedDiskError,
  ): Promise<void> {
    if (this.#isStopping) return;
    this.#membership = undefined;
    try {
      await server.close();
      timer.end();
      fleet.deregister();
      await this.#join(damage);
    } catch (err) {
      if (!this.#isStopping) this.#opts.onFailure(err);
    }
  }
}
