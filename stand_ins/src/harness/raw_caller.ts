import { connect, type Socket } from "node:net";

/** A response as it stands on the wire. */
export interface RawResponse {
  status: number;
  /** Values by name in lower case. */
  headers: Map<string, string>;
  body: string;
  /** False while the rest of the body is missing. */
  isWhole: boolean;
}

/** Caller that sends bytes as given, and reads the responses in order. */
export class RawCaller {
  readonly socket: Socket;
  /** Resolves when the connection has closed. */
  readonly closed: Promise<void>;
  readonly #chunks: Buffer[] = [];
  #isClosed = false;
  #isReset = false;

  constructor(address: string) {
    const [host = "", port] = address.split(":");
    this.socket = connect({ host, port: Number(port) });
    this.socket.on("data", (chunk) => this.#chunks.push(chunk));
    this.socket.on("error", () => this.#isReset = true);
    this.closed = new Promise((resolve) =>
      this.socket.on("close", () => {
        this.#isClosed = true;
        resolve();
      })
    );
  }

  get isClosed(): boolean {
    return this.#isClosed;
  }

  send(text: string): void {
    this.socket.write(text);
  }

  /** Responses so far; the last one may be incomplete. */
  get responses(): RawResponse[] {
    const found: RawResponse[] = [];
    let rest = Buffer.concat(this.#chunks).toString("latin1");
    while (true) {
      const response = parseHead(rest);
      if (!response) return found;
      rest = rest.slice(rest.indexOf("\r\n\r\n") + 4);
      rest = this.#parseBody(response, rest);
      found.push(response);
      if (!response.isWhole) return found;
    }
  }

  /** Statuses of the whole responses, in order. */
  get statuses(): number[] {
    return this.responses.filter((it) => it.isWhole).map((it) => it.status);
  }

  /** Waits until there are this many whole responses, or the end. */
  async untilAnswered(count: number): Promise<number[]> {
    while (this.statuses.length < count && !this.#isClosed) {
      await new Promise<void>((resolve) => {
        const finish = () => {
          this.socket.off("data", finish);
          this.socket.off("close", finish);
          resolve();
        };
        this.socket.once("data", finish);
        this.socket.once("close", finish);
      });
    }
    return this.statuses;
  }

  /** Reads the body of a response and returns what follows it. */
  #parseBody(response: RawResponse, text: string): string {
    const { headers } = response;
    if (response.status < 200) {
      response.isWhole = true;
      return text;
    }
    if (headers.get("transfer-encoding") === "chunked") {
      return parseChunks(response, text);
    }
    const length = headers.get("content-length");
    if (length === undefined) {
      response.body = text;
      response.isWhole = this.#isClosed && !this.#isReset;
      return "";
    }
    response.body = text.slice(0, Number(length));
    response.isWhole = response.body.length === Number(length);
    return text.slice(Number(length));
  }
}

function parseHead(text: string): RawResponse | undefined {
  const end = text.indexOf("\r\n\r\n");
  if (end < 0) return undefined;
  const [statusLine = "", ...lines] = text.slice(0, end).split("\r\n");
  const headers = new Map(lines.map((line) => {
    const colon = line.indexOf(":");
    return [line.slice(0, colon).toLowerCase(), line.slice(colon + 1).trim()];
  }));
  const status = Number(statusLine.split(" ")[1]);
  return { status, headers, body: "", isWhole: false };
}

function parseChunks(response: RawResponse, text: string): string {
  let rest = text;
  while (true) {
    const lineEnd = rest.indexOf("\r\n");
    if (lineEnd < 0) return "";
    const size = parseInt(rest.slice(0, lineEnd), 16);
    const dataEnd = lineEnd + 2 + size;
    if (rest.length < dataEnd + 2) return "";
    response.body += rest.slice(lineEnd + 2, dataEnd);
    rest = rest.slice(dataEnd + 2);
    if (size > 0) continue;
    response.isWhole = true;
    return rest;
  }
}

let nextId = 0;

/** Options of `rawRequest`. */
export interface RawRequestOptions {
  method?: string;
  headers?: Record<string, string>;
  body?: string;
}

/** Returns a request with an id of its own as it is sent. */
export function rawRequest(path: string, opts: RawRequestOptions = {}): string {
  const { method = "POST", body = "", headers = {} } = opts;
  const lines = Object.entries({
    host: "x.example",
    "x-id": `raw${nextId++}`,
    "content-length": String(body.length),
    ...headers,
  }).map(([name, value]) => `${name}: ${value}\r\n`);
  return `${method} ${path} HTTP/1.1\r\n${lines.join("")}\r\n${body}`;
}
