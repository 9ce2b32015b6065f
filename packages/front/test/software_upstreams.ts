import type { UpstreamEntry } from "@toucantrestle/routing";
import type { ServerResponse } from "node:http";
import type { Socket } from "node:net";
import type { ReceivedRequest, TestCluster } from "./test_cluster.ts";
import { testProtocol } from "./test_protocol.ts";

/** Path of the query that names the start time of the process. */
const REPORT_PATH = "/report";
const EVENTS = 4;
/** Events that a caller gets before a stream is broken off. */
export const EVENTS_BEFORE_BREAK = 2;
const BREAK_DELAY_MS = 10;

/** How an upstream names its process when it is asked. */
export type ReportKind =
  /** Its report has the start time. */
  | "start"
  /** Its report has none; another query yields an epoch. */
  | "epoch"
  /** It knows neither query. */
  | "none"
  | "hang";

/** One process of an upstream. */
interface Life {
  softwareVersion: string;
  /** Start time in the entry, in ms; 0 if the entry names none. */
  startedAt: number;
}

interface SoftwareUpstream {
  life: Life;
  epoch: number;
  report: ReportKind;
  sockets: Set<Socket>;
}

/**
 * Upstreams that write the version of their software into each event, and can
 * be replaced by a process with another version at the same id and address.
 */
export class SoftwareUpstreams {
  readonly #cluster: TestCluster;
  readonly #upstreams = new Map<string, SoftwareUpstream>();
  /** Called when an upstream breaks off a stream; undefined if none does. */
  onBreak: ((id: string) => void) | undefined;
  /** Upstreams that decline what isn't a report. */
  declining = new Set<string>();
  /** Upstreams that were asked for their process, once for each query. */
  readonly queries: string[] = [];

  constructor(cluster: TestCluster) {
    this.#cluster = cluster;
  }

  async add(
    id: string,
    { report = "start", ...life }: Life & { report?: ReportKind },
  ): Promise<UpstreamEntry> {
    this.#cluster.answerQueries(
      id,
      (path, res) => this.#answerQuery(id, path, res),
    );
    this.#upstreams.set(id, { life, epoch: 1, report, sockets: new Set() });
    return await this.#cluster.addUpstream(
      id,
      (received, res) => this.#serve(id, received, res),
      life,
    );
  }

  setReport(id: string, report: ReportKind): void {
    this.#of(id).report = report;
  }

  /** Resets all connections of an upstream that goes on. */
  resetConnections(id: string): void {
    for (const socket of this.#of(id).sockets) socket.resetAndDestroy();
  }

  /** Resets all connections of all upstreams, which go on. */
  resetAll(): void {
    for (const id of this.#upstreams.keys()) this.resetConnections(id);
  }

  /**
   * Ends the process of an upstream, which resets its connections, and starts
   * another one that has not written its entry yet.
   */
  restart(id: string, softwareVersion: string): void {
    const upstream = this.#of(id);
    const { startedAt } = upstream.life;
    upstream.epoch += 1;
    upstream.life = {
      softwareVersion,
      startedAt: startedAt === 0 ? 0 : startedAt + 1,
    };
    this.resetConnections(id);
  }

  /** Writes the entry of the present process of an upstream. */
  publish(id: string): void {
    const entry = { ...this.#cluster.entryOf(id), ...this.#of(id).life };
    this.#cluster.store.put(testProtocol.upstreamPrefix + id, entry);
  }

  #of(id: string): SoftwareUpstream {
    const upstream = this.#upstreams.get(id);
    if (!upstream) throw new Error(`no upstream ${id}`);
    return upstream;
  }

  #serve(id: string, received: ReceivedRequest, res: ServerResponse): void {
    this.#track(id, res);
    if (this.declining.has(id)) {
      res.writeHead(503, { "x-not-run": "1" });
      res.end();
      return;
    }
    this.#writeEvents(id, Number(received.headers["last-event-id"] ?? 0), res);
  }

  #track(id: string, { req: { socket } }: ServerResponse): void {
    const { sockets } = this.#of(id);
    if (sockets.has(socket)) return;
    sockets.add(socket);
    socket.on("close", () => sockets.delete(socket));
  }

  #answerQuery(id: string, path: string, res: ServerResponse): void {
    this.queries.push(id);
    const { life, epoch, report } = this.#of(id);
    this.#track(id, res);
    if (report === "hang") return;
    const { startedAt } = life;
    const isReport = path === REPORT_PATH;
    if (report === "none") res.statusCode = 404;
    if (report === "start") res.end(JSON.stringify({ startedAt }));
    else res.end(JSON.stringify(isReport ? {} : { epoch }));
  }

  #writeEvents(id: string, last: number, res: ServerResponse): void {
    const { softwareVersion } = this.#of(id).life;
    const { onBreak } = this;
    res.writeHead(200, { "content-type": "text/event-stream" });
    for (let i = last + 1; i <= EVENTS; i++) {
      res.write(`id: ${i}\ndata: ${id}/${softwareVersion}\n\n`);
      if (i < EVENTS_BEFORE_BREAK || last > 0 || !onBreak) continue;
      setTimeout(() => {
        onBreak(id);
        res.socket?.resetAndDestroy();
      }, BREAK_DELAY_MS);
      return;
    }
    res.end();
  }
}

/** Versions of the software that wrote the events of a response. */
export function versionsIn(body: string): string[] {
  return [...body.matchAll(/data: \w+\/(\w+)/g)].map((it) => String(it[1]));
}

/** Ids of the upstreams that wrote the events of a response. */
export function upstreamsIn(body: string): string[] {
  return [...body.matchAll(/data: (\w+)\//g)].map((it) => String(it[1]));
}
