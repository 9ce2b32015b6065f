import type { HttpServer } from "@toucantrestle/http";
import type { Logger } from "@toucantrestle/log";
import type { SiblingNet } from "@toucantrestle/sibling";
import { sleep, type Timer } from "@toucantrestle/timer";
import type { Flusher } from "./flusher.ts";
import type { LeaseKeeper } from "./lease_keeper.ts";
import type { Ownership } from "./ownership.ts";
import type { StoreView } from "./store_view.ts";

/** Parts that a stop ends, in its order. */
export interface StopParts {
  timer: Timer;
  log: Logger;
  lease: LeaseKeeper;
  ownership: Ownership;
  http: HttpServer;
  flusher: Flusher;
  view: StoreView;
  net: SiblingNet;
}

const STOP_PATIENCE_MS = 60_000;
/** Time for callers and siblings to learn that this host is leaving. */
const LEAVE_NOTICE_MS = 500;

/**
 * Leaves the list, hands the shards over, finishes what is in progress,
 * flushes and ends the lease.
 */
export async function stopGracefully(parts: StopParts): Promise<void> {
  const { timer, log, lease } = parts;
  log.info("stops: no new programs are placed here");
  await lease.setState("leaving").catch(() => {});
  await sleep(timer, LEAVE_NOTICE_MS);
  const deadline = timer.now() + STOP_PATIENCE_MS;
  await parts.ownership.stop(deadline);
  await parts.http.drain();
  const patience = sleep(timer, Math.max(0, deadline - timer.now()));
  await Promise.race([parts.flusher.flushAll().catch(() => {}), patience]);
  await lease.close().catch(() => {});
  parts.view.close();
  parts.flusher.close();
  await parts.net.close();
  log.info("has stopped");
}
