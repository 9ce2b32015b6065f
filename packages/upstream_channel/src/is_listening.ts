import { connect } from "node:net";

/** An upstream that accepts nothing for this long is taken for gone, in ms. */
const PROBE_TIMEOUT_MS = 300;

/**
 * Whether a process accepts connections at an `IP:PORT` address. Tells an
 * upstream that broke an answer off from one that has ended.
 */
export function isListening(address: string): Promise<boolean> {
  const url = new URL(`tcp://${address}`);
  return new Promise((resolve) => {
    const socket = connect(Number(url.port), url.hostname);
    const settle = (listens: boolean) => {
      socket.destroy();
      resolve(listens);
    };
    socket.setTimeout(PROBE_TIMEOUT_MS, () => settle(false));
    socket.once("connect", () => settle(true));
    socket.once("error", () => settle(false));
  });
}
