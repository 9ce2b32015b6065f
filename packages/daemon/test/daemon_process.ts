import { type ChildProcess, spawn } from "node:child_process";
import { randomInt } from "node:crypto";
import { request } from "node:http";
import { request as requestTls } from "node:https";
import { createServer, type Server } from "node:net";
import process from "node:process";
import { setTimeout as delay } from "node:timers/promises";
import { fileURLToPath } from "node:url";

const MAIN = fileURLToPath(new URL("../src/main.js", import.meta.url));
/**
 * The range lies below the ephemeral ports of the kernel: an outgoing
 * connection could otherwise claim a port between the check and its use.
 */
const LOWEST_PORT = 12_000;
const HIGHEST_PORT = 31_000;
const POLL_MS = 25;
const SERVE_TIMEOUT_MS = 15_000;
const REQUEST_TIMEOUT_MS = 1_000;

/** How a process ended. */
export interface End {
  status: number | null;
  signal: string | null;
}

/** Options of `startDaemon`. */
export interface DaemonOptions {
  /** Flags that are added or replaced. */
  flags?: Record<string, string>;
  /** Flags of Node.js. */
  nodeArgs?: string[];
  /** Where its output goes; a file descriptor, or a pipe to the test. */
  output?: number;
  isTls?: boolean;
}

/** A daemon as a process of its own. */
export interface StartedDaemon {
  /** Addresses on which it listens for callers and for siblings. */
  readonly address: string;
  readonly siblingAddress: string;
  readonly pid: number;
  /** What it has written to standard output and standard error. */
  readonly text: string;
  /** How it ended; undefined while it runs. */
  readonly end: End | undefined;
  readonly exited: Promise<End>;
  start(): void;
  signal(name: NodeJS.Signals): void;
  /** Closes the pipes that it writes to. */
  closeOutput(): void;
  /** Waits until it answers callers; false if it doesn't. */
  serves(): Promise<boolean>;
}

/** Prepares a daemon, so that its addresses are known before its start. */
export async function prepareDaemon(
  { flags = {}, nodeArgs = [], output, isTls = false }: DaemonOptions = {},
): Promise<StartedDaemon> {
  const address = await findFreeAddress();
  const siblingAddress = await findFreeAddress();
  const all = {
    "host": "a",
    "data-centre": "dc",
    "listen": address,
    "sibling-listen": siblingAddress,
    "sibling-key": "sibling-key",
    "store-url": "http://127.0.0.1:1",
    ...flags,
  };
  let child: ChildProcess;
  let text = "";
  let end: End | undefined;
  let exited: Promise<End>;
  return {
    address,
    siblingAddress,
    get pid() {
      return child.pid ?? 0;
    },
    get text() {
      return text;
    },
    get end() {
      return end;
    },
    get exited() {
      return exited;
    },
    start() {
      const args = Object.entries(all).map(([name, it]) => `--${name}=${it}`);
      child = spawn(process.execPath, [...nodeArgs, MAIN, ...args], {
        stdio: ["ignore", output ?? "pipe", output ?? "pipe"],
      });
      child.stdout?.on("data", (chunk) => text += chunk);
      child.stderr?.on("data", (chunk) => text += chunk);
      exited = new Promise((resolve) =>
        child.on("exit", (status, signal) => {
          end = { status, signal };
          resolve(end);
        })
      );
    },
    signal: (name) => child.kill(name),
    closeOutput() {
      child.stdout?.destroy();
      child.stderr?.destroy();
    },
    async serves() {
      const deadline = performance.now() + SERVE_TIMEOUT_MS;
      while (!end && performance.now() < deadline) {
        if (await isHealthy(address, isTls)) return end === undefined;
        await delay(POLL_MS);
      }
      return false;
    },
  };
}

function isHealthy(address: string, isTls: boolean): Promise<boolean> {
  const [host, port] = address.split(":");
  const opts = {
    host,
    port,
    path: "/health",
    agent: false as const,
    timeout: REQUEST_TIMEOUT_MS,
  };
  return new Promise((resolve) => {
    const req = isTls
      ? requestTls({ ...opts, rejectUnauthorized: false })
      : request(opts);
    req.on("response", (res) => {
      res.resume();
      resolve(res.statusCode === 200);
    });
    req.on("timeout", () => req.destroy());
    req.on("error", () => resolve(false));
    req.end();
  });
}

/** Listens on a free loopback address, or on a given one. */
export function hold(address = "127.0.0.1:0"): Promise<Server> {
  const [ip, port] = address.split(":");
  const server = createServer();
  return new Promise((resolve) =>
    server.listen(Number(port), ip, () => resolve(server))
  );
}

async function findFreeAddress(): Promise<string> {
  while (true) {
    const address = `127.0.0.1:${randomInt(LOWEST_PORT, HIGHEST_PORT)}`;
    if (await isFree(address)) return address;
  }
}

function isFree(address: string): Promise<boolean> {
  const [ip, port] = address.split(":");
  const server = createServer();
  return new Promise((resolve) => {
    server.once("error", () => resolve(false));
    server.listen(Number(port), ip, () => server.close(() => resolve(true)));
  });
}
