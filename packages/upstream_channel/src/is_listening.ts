import { connect } from "node:net";

/** Timeout of the probe; an upstream that does not accept by then is down. */
const PROBE_TIMEOUT_MS = 300;

/**
 * Returns whether a process accepts connections at an `IP:PORT` address. This
 * distinguishes an upstream that aborted a response from one that has crashed
 * or exited.
 */
export function isListening(address: string): Promise<boolean> {
  const url = new URL(`tcp://${address}`);
  return new Promise((resolve) => {
    const socket = connect(Number(url.port), url.hostname);
    const settle = (isAccepting: boolean) => {
      socket.destroy();
      resolve(isAccepting);
    };
    socket.setTimeout(PROBE_TIMEOUT_MS, () => settle(false));
    socket.once("connect", () => settle(true));
    socket.once("error", () => settle(false));
  });
}
