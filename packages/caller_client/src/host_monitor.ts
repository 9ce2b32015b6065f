import { type Dispatcher, request } from "undici";

/** Health monitor of a host while a request to it is in flight. */
export interface HostMonitor {
  /** Aborts when the host fails consecutive health checks. */
  signal: AbortSignal;
  /** Stops the health checks. */
  cancel(): void;
}

const HEALTH_CHECK_INTERVAL_MS = 1_000;
const HEALTH_CHECK_TIMEOUT_MS = 1_000;
const MAX_FAILED_CHECKS = 2;

/**
 * Polls the health path of a host while a request to it is in flight. Without
 * these checks, a caller would wait indefinitely for a host that is suspended
 * or partitioned from the network.
 */
export function monitorHost(
  address: string,
  dispatcher: Dispatcher,
): HostMonitor {
  const abortController = new AbortController();
  let failedChecks = 0;
  const timer = setInterval(async () => {
    const isHealthy = await isHostHealthy(address, dispatcher);
    failedChecks = isHealthy ? 0 : failedChecks + 1;
    if (failedChecks >= MAX_FAILED_CHECKS) {
      clearInterval(timer);
      abortController.abort(
        new Error(
          `host ${address} failed ${failedChecks} consecutive health checks`,
        ),
      );
    }
  }, HEALTH_CHECK_INTERVAL_MS);
  return {
    signal: abortController.signal,
    cancel: () => clearInterval(timer),
  };
}

async function isHostHealthy(
  address: string,
  dispatcher: Dispatcher,
): Promise<boolean> {
  try {
    const res = await request(`http://${address}/health`, {
      dispatcher,
      signal: AbortSignal.timeout(HEALTH_CHECK_TIMEOUT_MS),
    });
    await res.body.dump();
    return true;
  } catch {
    return false;
  }
}
