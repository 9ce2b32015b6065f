import {
  type AddressInfo,
  connect,
  createServer,
  type Server,
  type Socket,
} from "node:net";

/** A pair of sockets that the proxy connects. */
interface Relay {
  client: Socket;
  server: Socket;
  isSilent: boolean;
}

/**
 * TCP proxy on loopback that disturbs the connections through it. Connections
 * opened after a disturbance work.
 */
export class TcpProxy {
  readonly #target: { host: string; port: number };
  readonly #relays = new Set<Relay>();
  readonly #server: Server;

  /** `target` is `IP:PORT`. */
  constructor(target: string) {
    const [host = "", port = ""] = target.split(":");
    this.#target = { host, port: Number(port) };
    this.#server = createServer((client) => this.#open(client));
  }

  /** Starts listening and returns the address as `IP:PORT`. */
  async listen(): Promise<string> {
    await new Promise<void>((resolve) =>
      this.#server.listen(0, "127.0.0.1", resolve)
    );
    return `127.0.0.1:${(this.#server.address() as AddressInfo).port}`;
  }

  /** Number of open connections. */
  get openCount(): number {
    return this.#relays.size;
  }

  /** Open connections stay open, but carry nothing from now on. */
  silence(): void {
    for (const relay of this.#relays) relay.isSilent = true;
  }

  /** Resets all open connections. */
  reset(): void {
    for (const relay of this.#relays) {
      relay.client.resetAndDestroy();
      relay.server.destroy();
    }
  }

  close(): void {
    this.#server.close();
    for (const relay of this.#relays) {
      relay.client.destroy();
      relay.server.destroy();
    }
  }

  #open(client: Socket): void {
    const server = connect(this.#target);
    const relay: Relay = { client, server, isSilent: false };
    this.#relays.add(relay);
    pipe(relay, client, server);
    pipe(relay, server, client);
    client.on("close", () => this.#relays.delete(relay));
  }
}

/** Forwards data and the end of one direction while the relay is not silent. */
function pipe(relay: Relay, from: Socket, to: Socket): void {
  from.setNoDelay(true);
  from.on("data", (data) => {
    if (!relay.isSilent) to.write(data);
  });
  from.on("error", () => from.destroy());
  from.on("close", () => {
    if (!relay.isSilent || from === relay.client) to.destroy();
  });
}
