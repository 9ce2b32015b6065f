import { readArrived } from "@toucantrestle/timer";
import type { Dial } from "./dial.ts";

/** Timeout of the probe; an upstream that does not accept by then is down. */
const PROBE_TIMEOUT_MS = 300;

/**
 * Returns whether a process accepts connections at an `IP:PORT` address. This
 * distinguishes an upstream that aborted a response from one that has crashed
 * or exited.
 */
export function isListening(address: string, dial: Dial): Promise<boolean> {
  return new Promise((resolve) => {
    const socket = dial(address);
    const settle = (isAccepting: boolean) => {
      clearTimeout(timeout);
      socket.destroy();
      resolve(isAccepting);
    };
    const timeout = setTimeout(async () => {
      await readArrived();
      settle(false);
    }, PROBE_TIMEOUT_MS);
    socket.once("connect", () => settle(true));
    socket.once("error", () => settle(false));
  });
}
