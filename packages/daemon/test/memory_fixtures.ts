/**
 * A daemon with little memory, peers that send without end, and callers that
 * do nothing wrong.
 *
 * @module
 */
import { expect } from "earl";
import { Buffer } from "node:buffer";
import { readFileSync } from "node:fs";
import { createServer as createHttpServer, request } from "node:http";
import {
  type AddressInfo,
  connect,
  createServer,
  type Server,
  type Socket,
} from "node:net";
import { setTimeout as delay } from "node:timers/promises";
import { prepareDaemon, type StartedDaemon } from "./daemon_process.ts";

/** Memory that a daemon may take with these flags. */
const MEMORY_LIMIT_BYTES = 200 * 1_048_576;
const NODE_ARGS = ["--max-old-space-size=110", "--max-semi-space-size=2"];
const SENDING_MS = 4_000;
const BYSTANDER_PAUSE_MS = 50;
const BYSTANDER_TIMEOUT_MS = 4_000;

/** Some 60 KB of chunks of one byte, as HTTP frames them. */
export const ONE_BYTE_CHUNKS: Buffer = Buffer.from("1\r\nx\r\n".repeat(10_000));

/** Head of a response with chunks. */
export const CHUNKED_HEAD =
  "HTTP/1.1 200 OK\r\ncontent-type: application/json\r\n" +
  "transfer-encoding: chunked\r\n\r\n";

/** What a test has opened; ended by `close`. */
export class MemoryFixtures {
  readonly #sockets = new Set<Socket>();
  readonly #servers: Server[] = [];
  daemon!: StartedDaemon;

  /** Starts a daemon with little memory, and waits until it serves. */
  async startDaemon(flags: Record<string, string>): Promise<void> {
    this.daemon = await prepareDaemon({ flags, nodeArgs: NODE_ARGS });
    this.daemon.start();
    if (!await this.daemon.serves()) throw new Error(this.daemon.text);
  }

  /**
   * Starts a key-value service that has these entries and rejects all writes.
   * Returns its URL.
   */
  async startStore(entries: Record<string, string>): Promise<string> {
    const encode = (text: string) => Buffer.from(text).toString("base64");
    const kvs = Object.entries(entries).map(([key, value]) => ({
      key: encode(`/toucantrestle/meta/${key}`),
      value: encode(value),
      mod_revision: "5",
    }));
    const listing = JSON.stringify({ header: { revision: "5" }, kvs });
    const server = createHttpServer((req, res) => {
      req.resume();
      if (req.url === "/v3/kv/range") res.end(listing);
      else res.writeHead(503).end();
    });
    return `http://${await this.#listen(server)}`;
  }

  /** Starts a peer that answers each connection as given; returns its address. */
  startPeer(answer: (socket: Socket, text: string) => void): Promise<string> {
    const server = createServer((socket) => {
      socket.on("data", (chunk) => answer(socket, chunk.toString("latin1")));
    });
    return this.#listen(server);
  }

  /** Opens a connection to an address. */
  open(address: string): Socket {
    const [host = "", port] = address.split(":");
    const socket = connect({ host, port: Number(port) });
    this.#add(socket);
    return socket;
  }

  /** Calls the daemon while its peers send; expects that nothing else suffers. */
  async expectBystandersServed(): Promise<void> {
    await this.expectNoneLost();
    const peak = this.#peakResidentBytes();
    expect({ peak, isBelow: peak < MEMORY_LIMIT_BYTES })
      .toEqual({ peak, isBelow: true });
  }

  /** Like `expectBystandersServed`, but the memory that it takes is not judged. */
  async expectNoneLost(): Promise<void> {
    const failed = await this.#countFailedCalls();
    expect(this.daemon.end).toEqual(undefined);
    expect(failed).toEqual(0);
  }

  async close(): Promise<void> {
    this.daemon.signal("SIGKILL");
    await this.daemon.exited;
    for (const it of this.#sockets) it.destroy();
    for (const it of this.#servers) it.close();
  }

  async #listen(server: Server): Promise<string> {
    this.#servers.push(server);
    server.on("connection", (socket: Socket) => this.#add(socket));
    await new Promise<void>((resolve) =>
      server.listen(0, "127.0.0.1", resolve)
    );
    return `127.0.0.1:${(server.address() as AddressInfo).port}`;
  }

  #add(socket: Socket): void {
    this.#sockets.add(socket);
    socket.on("error", () => {});
    socket.on("close", () => this.#sockets.delete(socket));
  }

  /** Calls the daemon for some time, and returns how many calls failed. */
  async #countFailedCalls(): Promise<number> {
    const end = performance.now() + SENDING_MS;
    let failed = 0;
    while (performance.now() < end) {
      if (await this.#call() !== 200) failed += 1;
      await delay(BYSTANDER_PAUSE_MS);
    }
    return failed;
  }

  #call(): Promise<number> {
    const [host, port] = this.daemon.address.split(":");
    return new Promise((resolve) => {
      const req = request({ host, port, path: "/health", agent: false });
      req.setTimeout(BYSTANDER_TIMEOUT_MS, () => req.destroy());
      req.on("response", (res) => {
        res.resume();
        res.on("error", () => {});
        res.on("close", () => resolve(res.complete ? res.statusCode ?? 0 : 0));
      });
      req.on("error", () => resolve(0));
      req.end();
    });
  }

  #peakResidentBytes(): number {
    const status = readFileSync(`/proc/${this.daemon.pid}/status`, "utf8");
    return 1_024 * Number(/^VmHWM:\s*(\d+) kB$/m.exec(status)?.[1] ?? 0);
  }
}

/** Writes the same bytes again and again until the other side closes. */
export function sendEndlessly(socket: Socket, bytes: Buffer): void {
  const send = () => {
    while (!socket.destroyed && socket.write(bytes));
    if (!socket.destroyed) socket.once("drain", () => setImmediate(send));
  };
  send();
}
