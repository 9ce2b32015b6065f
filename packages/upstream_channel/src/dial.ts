import { connect, type Socket } from "node:net";

/** Opens a connection to an `IP:PORT` address. */
export type Dial = (address: string) => Socket;

/** Opens a TCP connection. */
export const dialTcp: Dial = (address) => {
  const url = new URL(`tcp://${address}`);
  return connect({
    host: url.hostname,
    port: Number(url.port),
    noDelay: true,
  });
};
