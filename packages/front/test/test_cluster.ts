import { type ConfigStore, MemoryStore } from "@toucantrestle/config_store";
import { Fleet, type HostEntry } from "@toucantrestle/fleet";
import type { LoggerFactory } from "@toucantrestle/log";
import { createNoopMetrics, type Metrics } from "@toucantrestle/metrics";
import type { OrganisationEntry } from "@toucantrestle/organisations";
import type { Route, UpstreamEntry } from "@toucantrestle/routing";
import {
  createSystemTimer,
  createTimerScope,
  type Timer,
} from "@toucantrestle/timer";
import { writeState } from "@toucantrestle/turn_journal";
import { openStoreDisk, TurnStoreServer } from "@toucantrestle/turn_store";
import type { Dial } from "@toucantrestle/upstream_channel";
import { mkdtemp, rm } from "node:fs/promises";
import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from "node:http";
import { type AddressInfo, createServer as createTcpServer } from "node:net";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { Front } from "../src/mod.ts";
import { KeptLog } from "./kept_log.ts";
import { type CallResult, sendRequest } from "./send_request.ts";
import { testProtocol } from "./test_protocol.ts";

export { type RawResponse, writeRaw } from "./raw_response.ts";
export { type CallResult, sendRequest } from "./send_request.ts";

const READY_TIMEOUT_MS = 8_000;
/** Grace period of fronts and turn stores. */
const GRACE_MS = 3_000;
/** Header limit of upstreams, above the limit for callers, in bytes. */
const MAX_UPSTREAM_HEADER_BYTES = 65_536;

/** A request as an upstream received it. */
export interface ReceivedRequest {
  id: string;
  path: string;
  body: string;
  headers: IncomingMessage["headers"];
}

/** Answers a request on behalf of an upstream. */
export type UpstreamHandler = (
  received: ReceivedRequest,
  res: ServerResponse,
) => void;

/** Answers a query for the process of an upstream. */
export type QueryHandler = (path: string, res: ServerResponse) => void;

const QUERY_PATHS = new Set(testProtocol.processQueries.map((it) => it.path));

/** In-process fronts, turn stores, upstreams and the store of one test. */
export class TestCluster {
  readonly #timer = createTimerScope(createSystemTimer());
  readonly store = new MemoryStore();
  readonly fronts: Front[] = [];
  readonly received: ReceivedRequest[] = [];
  readonly callerAddresses: string[] = [];
  readonly directoryAddresses: string[] = [];
  /** Addresses for links to the fronts. */
  readonly frontLinkAddresses: string[] = [];
  readonly #servers: Server[] = [];
  readonly #upstreams = new Map<string, Server>();
  readonly #entries = new Map<string, UpstreamEntry>();
  readonly #queryHandlers = new Map<string, QueryHandler>();
  readonly #turnStores: { server: TurnStoreServer; host: string }[] = [];
  readonly #fleets: Fleet[] = [];
  /** Data folders of the turn stores, by host. */
  readonly #folders = new Map<string, string>();
  readonly #linkAddresses = new Map<string, string>();
  readonly #log = new KeptLog();
  readonly #loggers: LoggerFactory;
  #version = 0;

  constructor(opts: { loggers?: LoggerFactory } = {}) {
    this.#loggers = opts.loggers ?? this.#log.loggers;
  }

  /** Stores a new version of the configuration with these routes. */
  configure(
    routes: Partial<Route>[],
    { serviceNames = ["s"], ...opts }: {
      organisations?: OrganisationEntry[];
      serviceNames?: string[];
    } = {},
  ): void {
    this.#version += 1;
    this.store.put(testProtocol.configKey, {
      version: this.#version,
      routes: routes.map((it) => ({ ...defaultRoute, ...it })),
      services: serviceNames.map((name) => ({
        name,
        maxConnections: 100,
        engine: { slots: 4, cacheTokens: 1_000, tokensPerEvent: 1 },
      })),
      limits: {
        headerBytes: 16_384,
        bodyBytes: 100_000,
        headerTimeoutMs: 3_000,
        idleTimeoutMs: 5_000,
      },
      ...opts,
    });
  }

  async addTurnStores(count: number): Promise<void> {
    for (let i = 0; i < count; i++) {
      const host = `store-${i}`;
      const folder = await mkdtemp(join(tmpdir(), "turns-"));
      await writeState(folder, { id: host });
      this.#folders.set(host, folder);
      this.#linkAddresses.set(host, await freeAddress());
      await this.#startTurnStore(host);
    }
  }

  /** Stops all turn stores and starts them again with their disks. */
  async restartTurnStores(): Promise<void> {
    const stopped = this.#turnStores.splice(0);
    for (const { server } of stopped) server.close();
    for (const { host } of stopped) await this.#startTurnStore(host);
  }

  /** Stops a turn store as SIGTERM does, and starts it with its disk after some time. */
  async restartTurnStore(host: string, downMs: number): Promise<void> {
    const index = this.#turnStores.findIndex((it) => it.host === host);
    const [stopped] = this.#turnStores.splice(index, 1);
    await stopped?.server.stop(GRACE_MS);
    await new Promise((resolve) => setTimeout(resolve, downMs));
    await this.#startTurnStore(host);
  }

  async addFront(
    opts: {
      dial?: Dial;
      store?: ConfigStore;
      metrics?: Metrics;
      memoryBytes?: number;
      graceMs?: number;
      timer?: Timer;
    } = {},
  ): Promise<Front> {
    const [callerAddress, readyAddress, directoryAddress, linkAddress] =
      await Promise.all([0, 1, 2, 3].map(freeAddress)) as [
        string,
        string,
        string,
        string,
      ];
    const host = `front-${this.fronts.length}`;
    const fleet = this.#createFleet({
      id: host,
      host,
      role: "front",
      linkAddress,
      callerAddress,
      dataCentre: "a",
    });
    const front = new Front({
      host,
      dataCentre: "a",
      callerAddress,
      readyAddress,
      directoryAddress,
      linkAddress,
      seeds: [],
      graceMs: GRACE_MS,
      chooser: "expected_finish",
      disabled: new Set(),
      protocol: testProtocol,
      store: this.store,
      fleet,
      timer: this.#timer,
      loggers: this.#loggers,
      metrics: createNoopMetrics(),
      isFirstStart: true,
      ...opts,
    });
    await front.start();
    fleet.start();
    this.fronts.push(front);
    this.callerAddresses.push(callerAddress);
    this.directoryAddresses.push(directoryAddress);
    this.frontLinkAddresses.push(linkAddress);
    return front;
  }

  async addUpstream(
    id: string,
    handler: UpstreamHandler = respondWithText,
    opts: Partial<UpstreamEntry> = {},
  ): Promise<UpstreamEntry> {
    const server = createServer(
      { maxHeaderSize: MAX_UPSTREAM_HEADER_BYTES },
      (req, res) => {
        const chunks: Buffer[] = [];
        req.on("data", (chunk) => chunks.push(chunk));
        req.on("end", () => {
          if (QUERY_PATHS.has(req.url ?? "")) {
            const answer = this.#queryHandlers.get(id) ?? answerUnknownQuery;
            return answer(req.url ?? "", res);
          }
          const received: ReceivedRequest = {
            id: String(req.headers["x-id"]),
            path: req.url ?? "",
            body: Buffer.concat(chunks).toString(),
            headers: req.headers,
          };
          this.received.push(received);
          res.setHeader("x-id", received.id);
          res.setHeader("x-mark", id);
          handler(received, res);
        });
      },
    );
    const address = await listenOnFreePort(server);
    this.#servers.push(server);
    this.#upstreams.set(id, server);
    const entry: UpstreamEntry = {
      id,
      service: "s",
      address,
      dataCentre: "a",
      slots: 4,
      isDraining: false,
      coldLeftMs: 0,
      softwareVersion: "v1",
      startedAt: 0,
      ...opts,
    };
    this.#entries.set(id, entry);
    this.store.put(testProtocol.upstreamPrefix + id, entry);
    return entry;
  }

  /** Sets what answers the queries for the process of an upstream. */
  answerQueries(id: string, handler: QueryHandler): void {
    this.#queryHandlers.set(id, handler);
  }

  /** Returns the entry with which an upstream was added. */
  entryOf(id: string): UpstreamEntry {
    const entry = this.#entries.get(id);
    if (!entry) throw new Error(`no upstream ${id}`);
    return entry;
  }

  /** Simulates a crash: closes all connections and accepts no new ones. */
  crashUpstream(id: string): void {
    const server = this.#upstreams.get(id);
    server?.close();
    server?.closeAllConnections();
  }

  /** Sends a request to a front and reads the response. */
  call(
    path: string,
    opts: {
      headers?: Record<string, string>;
      body?: string;
      front?: number;
    } = {},
  ): Promise<CallResult> {
    const address = this.callerAddresses[opts.front ?? 0] ?? "";
    return sendRequest(address, path, opts);
  }

  /** Waits until all fronts serve calls to a path, by probing it. */
  async waitUntilReady(
    path: string,
    headers: Record<string, string> = {},
    timeoutMs = READY_TIMEOUT_MS,
  ) {
    const deadline = this.#timer.monotonicNow() + timeoutMs;
    while (this.#timer.monotonicNow() < deadline) {
      const ids = {
        "x-id": `probe${this.received.length}${this.#timer.monotonicNow()}`,
      };
      const statuses = await Promise.all(
        this.callerAddresses.map((_, front) =>
          this.call(path, { front, headers: { ...ids, ...headers } })
            .then((it) => it.status)
        ),
      );
      if (statuses.every((it) => it === 200)) {
        this.received.length = 0;
        return;
      }
      await new Promise((resolve) => setTimeout(resolve, 50));
    }
    throw new Error(`fronts not ready after ${timeoutMs} ms`);
  }

  /** Prints what all parts have logged if a test, given by its context, failed. */
  printLogIfFailed(t: object): void {
    this.#log.printIfFailed(t);
  }

  async close(): Promise<void> {
    this.#timer.end();
    for (const front of this.fronts) front.close();
    for (const { server } of this.#turnStores) server.close();
    for (const fleet of this.#fleets) await fleet.deregister();
    for (const server of this.#servers) {
      server.closeAllConnections();
      server.close();
    }
    for (const folder of this.#folders.values()) {
      await rm(folder, { recursive: true, force: true });
    }
  }

  async #startTurnStore(host: string): Promise<void> {
    const self: HostEntry = {
      id: host,
      host,
      role: "turn_store",
      linkAddress: this.#linkAddresses.get(host) ?? "",
      callerAddress: null,
      dataCentre: "a",
    };
    const fleet = this.#createFleet(self);
    const disk = await openStoreDisk({
      folder: this.#folders.get(host) ?? "",
      maxBytes: 50_000_000,
      maxSetAsideBytes: 0,
      timer: this.#timer,
      log: this.#loggers("journal"),
    });
    const server = new TurnStoreServer({
      self,
      fleet,
      disk,
      isFirstStart: true,
      tolerate: 1,
      listRetiringHosts: () => [],
      onHostRetired: () => {},
      timer: this.#timer,
      loggers: this.#loggers,
      metrics: createNoopMetrics(),
    });
    await server.start();
    fleet.start();
    this.#turnStores.push({ server, host });
  }

  #createFleet(self: HostEntry): Fleet {
    const log = this.#loggers("fleet");
    const fleet = new Fleet({
      self,
      store: this.store,
      timer: this.#timer,
      log,
    });
    this.#fleets.push(fleet);
    return fleet;
  }
}

const defaultRoute: Route = {
  name: "r",
  host: "x.example",
  prefix: "/plain/",
  kind: "idempotent",
  timeoutMs: 2_000,
  onTimeMs: 100,
  rank: 0,
  services: [{ service: "s", weight: 1 }],
  maxRuns: 2,
  keepsTurns: false,
  keepMs: 60_000,
  isResumable: false,
};

function answerUnknownQuery(_path: string, res: ServerResponse): void {
  res.writeHead(404);
  res.end();
}

const respondWithText: UpstreamHandler = (received, res) =>
  res.end(`did ${received.id}`);

/** Creates a handler that answers with a stream of events. */
export function respondWithEvents(...data: string[]): UpstreamHandler {
  return (_received, res) => {
    res.writeHead(200, { "content-type": "text/event-stream" });
    data.forEach((it, i) => res.write(`id: ${i + 1}\ndata: ${it}\n\n`));
    res.end();
  };
}

export async function freeAddress(): Promise<string> {
  const server = createTcpServer();
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  const { port } = server.address() as AddressInfo;
  await new Promise((resolve) => server.close(resolve));
  return `127.0.0.1:${port}`;
}

async function listenOnFreePort(server: Server): Promise<string> {
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  return `127.0.0.1:${(server.address() as AddressInfo).port}`;
}
