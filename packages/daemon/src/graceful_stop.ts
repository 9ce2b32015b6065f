import type { HttpServer } from "@toucantrestle/http";
import type { Logger } from "@toucantrestle/log";
import type { SiblingNet } from "@toucantrestle/sibling";
import { sleep, type Timer } from "@toucantrestle/timer";
import type { Flusher } from "./flusher.ts";
import type { LeaseManager } from "./lease_manager.ts";
import type { Ownership } from "./ownership.ts";
import type { StoreView } from "./store_view.ts";

/** Components that a graceful stop shuts down. */
export interface StopComponents {
  timer: Timer;
  log: Logger;
  lease: Pick<LeaseManager, "setState" | "close">;
  ownership: Pick<Ownership, "stop">;
  http: Pick<HttpServer, "drain">;
  flusher: Pick<Flusher, "flushAll" | "close">;
  view: Pick<StoreView, "close">;
  net: Pick<SiblingNet, "drain" | "close">;
}

const STOP_TIMEOUT_MS = 60_000;
/** Delay that lets callers and siblings notice that this host is leaving. */
const LEAVE_NOTICE_MS = 500;

/**
 * Stops a daemon: registers as leaving, hands its shards over, drains requests
 * of callers and siblings in flight, flushes the journal and revokes the lease.
 */
export async function stopGracefully(
  components: StopComponents,
): Promise<void> {
  const { timer, log, lease } = components;
  log.info("shutting down, new programs are placed on other hosts");
  await lease.setState("leaving").catch(() => {});
  await sleep(timer, LEAVE_NOTICE_MS);
  const deadline = timer.now() + STOP_TIMEOUT_MS;
  await components.ownership.stop(deadline);
  const leftMs = () => Math.max(0, deadline - timer.now());
  const timeout = sleep(timer, leftMs());
  await Promise.race([components.http.drain(), timeout]);
  await Promise.race([components.flusher.flushAll().catch(() => {}), timeout]);
  await components.net.drain(leftMs());
  await lease.close().catch(() => {});
  components.view.close();
  components.flusher.close();
  await components.net.close();
  log.info("shutdown complete");
}
