import type { ConfigStore } from "@toucantrestle/config_store";
import type { LoggerFactory } from "@toucantrestle/log";
import type { TailStore } from "@toucantrestle/membership";
import { Compactor } from "./compactor.ts";
import { Ownership, type OwnershipOptions } from "./ownership.ts";
import { Takeover } from "./takeover.ts";

/** Dependencies of ownership that the daemon provides. */
export interface OwnershipSetup
  extends Omit<OwnershipOptions, "takeover" | "log"> {
  store: ConfigStore;
  tails: TailStore;
  logs: LoggerFactory;
}

/** Creates the ownership loop with its takeover and compaction. */
export function setUpOwnership(setup: OwnershipSetup): Ownership {
  const log = setup.logs("owner");
  const takeover = new Takeover({ ...setup, log });
  new Compactor({ ...setup, takeover, log: setup.logs("journal") });
  return new Ownership({ ...setup, takeover, log });
}
