import { type Dispatcher, request } from "undici";

/** Watch over a host while a request to it is in progress. */
export interface HostWatch {
  /** Aborts when the host no longer answers. */
  signal: AbortSignal;
  cancel(): void;
}

const CHECK_MS = 1_000;
const CHECK_TIMEOUT_MS = 1_000;
const MAX_MISSES = 2;

/**
 * Asks a host for a sign of life while it works on a request. A host that is
 * paused or cut off would otherwise hold its callers for ever.
 */
export function watchHost(address: string, dispatcher: Dispatcher): HostWatch {
  const abort = new AbortController();
  let misses = 0;
  const timer = setInterval(async () => {
    const isAlive = await isAnswering(address, dispatcher);
    misses = isAlive ? 0 : misses + 1;
    if (misses >= MAX_MISSES) {
      clearInterval(timer);
      abort.abort(new Error(`host ${address} does not answer`));
    }
  }, CHECK_MS);
  return {
    signal: abort.signal,
    cancel: () => clearInterval(timer),
  };
}

async function isAnswering(
  address: string,
  dispatcher: Dispatcher,
): Promise<boolean> {
  try {
    const res = await request(`http://${address}/health`, {
      dispatcher,
      signal: AbortSignal.timeout(CHECK_TIMEOUT_MS),
    });
    await res.body.dump();
    return true;
  } catch {
    return false;
  }
}
