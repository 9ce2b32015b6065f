import { expect } from "earl";
import {
  closeSync,
  copyFileSync,
  mkdtempSync,
  openSync,
  readFileSync,
  rmSync,
  writeFileSync,
} from "node:fs";
import {
  type AddressInfo,
  createServer,
  type Server,
  type Socket,
} from "node:net";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { after, before, describe, it } from "node:test";
import { setTimeout as delay } from "node:timers/promises";
import { generate } from "selfsigned";
import {
  type DaemonOptions,
  hold,
  prepareDaemon,
  type StartedDaemon,
} from "./daemon_process.ts";

const CONCURRENTLY = { concurrency: 3 };
/** Time for which something is missing at a start. */
const ABSENCE_MS = 1_500;
/** Time in which a process that would end does so. */
const SURVIVAL_MS = 1_000;
const CATCH_TIMEOUT_MS = 5_000;
const POLL_MS = 5;
/** Bit of SIGHUP in what the kernel says of a process. */
const SIGHUP_BIT = 1n;

const folder = mkdtempSync(join(tmpdir(), "daemon-"));
const daemons: StartedDaemon[] = [];
const servers: Server[] = [];

before(async () => {
  const pems = await generate([{ name: "commonName", value: "a" }]);
  writeFileSync(join(folder, "cert.pem"), pems.cert);
  writeFileSync(join(folder, "key.pem"), pems.private);
});

after(async () => {
  for (const it of daemons) it.signal("SIGKILL");
  await Promise.all(daemons.map((it) => it.exited));
  for (const it of servers) it.close();
  rmSync(folder, { recursive: true });
});

async function prepare(opts?: DaemonOptions): Promise<StartedDaemon> {
  const daemon = await prepareDaemon(opts);
  daemons.push(daemon);
  return daemon;
}

async function start(opts?: DaemonOptions): Promise<StartedDaemon> {
  const daemon = await prepare(opts);
  daemon.start();
  return daemon;
}

/** Waits until the kernel says that the process listens for SIGHUP. */
async function untilHangupIsCaught({ pid }: StartedDaemon): Promise<void> {
  const deadline = performance.now() + CATCH_TIMEOUT_MS;
  while (performance.now() < deadline) {
    const status = readFileSync(`/proc/${pid}/status`, "utf8");
    const caught = BigInt(`0x${/^SigCgt:\s*(\w+)$/m.exec(status)?.[1] ?? 0}`);
    if ((caught & SIGHUP_BIT) !== 0n) return;
    await delay(POLL_MS);
  }
  throw new Error("the process does not catch the signal");
}

async function expectSurvival(daemon: StartedDaemon): Promise<void> {
  await Promise.race([daemon.exited, delay(SURVIVAL_MS)]);
  expect(daemon.end).toEqual(undefined);
  const serves = await daemon.serves();
  // Its log tells why it does not.
  expect({ serves, log: serves ? "" : daemon.text })
    .toEqual({ serves: true, log: "" });
}

async function expectStop(daemon: StartedDaemon): Promise<void> {
  daemon.signal("SIGTERM");
  expect(await daemon.exited).toEqual({ status: 0, signal: null });
}

describe("daemon that gets signals", CONCURRENTLY, () => {
  for (const name of ["SIGHUP", "SIGUSR2", "SIGALRM"] as const) {
    // Guards against a daemon that ends by a signal that asks for nothing.
    it(`goes on after ${name}`, async () => {
      const daemon = await start();
      expect(await daemon.serves()).toEqual(true);
      daemon.signal(name);
      await expectSurvival(daemon);
      await expectStop(daemon);
    });
  }

  // Guards against a daemon that ends by a signal during its start.
  it("goes on after SIGHUP that comes before its program is loaded", async () => {
    const daemon = await start();
    await untilHangupIsCaught(daemon);
    daemon.signal("SIGHUP");
    expect(await daemon.serves()).toEqual(true);
    expect(daemon.text.includes("got SIGHUP")).toEqual(true);
  });

  // Guards against a start that fails because it was stopped midway.
  it("stops after SIGTERM that comes before its program is loaded", async () => {
    const daemon = await start();
    await untilHangupIsCaught(daemon);
    await expectStop(daemon);
  });
});

describe("daemon whose port is in use at its start", CONCURRENTLY, () => {
  for (const name of ["address", "siblingAddress"] as const) {
    // Guards against a daemon that ends because a port is not free yet.
    it(`awaits it: ${name}`, async () => {
      const daemon = await prepare();
      const holder = await hold(daemon[name]);
      servers.push(holder);
      daemon.start();
      await delay(ABSENCE_MS);
      holder.close();
      expect(await daemon.serves()).toEqual(true);
    });

    // Guards against a daemon that can't be stopped while it awaits a port.
    it(`stops while it awaits it: ${name}`, async () => {
      const daemon = await prepare();
      const holder = await hold(daemon[name]);
      servers.push(holder);
      daemon.start();
      await delay(ABSENCE_MS);
      await expectStop(daemon);
    });
  }
});

describe("daemon whose output cannot be written", CONCURRENTLY, () => {
  for (const format of ["human", "json"]) {
    // Guards against a daemon that ends with the reader of its log.
    it(`goes on without a reader of its log: ${format}`, async () => {
      const flags = { "log-format": format };
      const daemon = await start({ flags });
      daemon.closeOutput();
      await expectSurvival(daemon);
      await expectStop(daemon);
    });

    // Guards against a daemon that ends because the disk of its log is full.
    it(`goes on with a full disk: ${format}`, async () => {
      const output = openSync("/dev/full", "w");
      const flags = { "log-format": format };
      const daemon = await start({ flags, output });
      closeSync(output);
      await expectSurvival(daemon);
      await expectStop(daemon);
    });
  }
});

describe("daemon with TLS", CONCURRENTLY, () => {
  const certFile = join(folder, "cert.pem");
  const keyFile = join(folder, "key.pem");

  function tlsOptions(cert: string, key: string): DaemonOptions {
    return { flags: { "tls-cert": cert, "tls-key": key }, isTls: true };
  }

  // Guards against a daemon that ends because its certificate comes later.
  it("awaits a certificate that is missing", async () => {
    const late = join(folder, "late_cert.pem");
    const daemon = await start(tlsOptions(late, keyFile));
    await delay(ABSENCE_MS);
    copyFileSync(certFile, late);
    expect(await daemon.serves()).toEqual(true);
  });

  // Guards against a daemon that ends because a key is being written.
  it("awaits a key of which half is written", async () => {
    const half = join(folder, "half_key.pem");
    const text = readFileSync(keyFile, "utf8");
    writeFileSync(half, text.slice(0, text.length / 2));
    const daemon = await start(tlsOptions(certFile, half));
    await delay(ABSENCE_MS);
    writeFileSync(half, text);
    expect(await daemon.serves()).toEqual(true);
  });

  it("ends with status 2 if its key is not set", async () => {
    const daemon = await start({ flags: { "tls-cert": certFile } });
    expect(await daemon.exited).toEqual({ status: 2, signal: null });
  });
});

describe("daemon without its file of timeline events", CONCURRENTLY, () => {
  // Guards against a daemon that ends because its data folder is missing.
  it("goes on if the data folder cannot be created", async () => {
    const file = join(folder, "no_folder");
    writeFileSync(file, "");
    const flags = { "data-folder": join(file, "data") };
    await expectSurvival(await start({ flags }));
  });
});

describe("daemon without metrics", () => {
  it("goes on if the host of the StatsD server is unknown", async () => {
    const flags = { statsd: "unknown.invalid:8125" };
    await expectSurvival(await start({ flags }));
  });
});

describe("daemon whose key-value service is out of order", CONCURRENTLY, () => {
  const answers: Record<string, (socket: Socket) => void> = {
    "never answers": () => {},
    "resets connections": (socket) => socket.resetAndDestroy(),
    "answers bytes": (socket) => socket.end("\0\xff\r\n\r\n"),
    "answers null": (socket) =>
      socket.end("HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\nnull"),
    "answers a page": (socket) =>
      socket.end("HTTP/1.1 200 OK\r\ncontent-length: 6\r\n\r\n<html>"),
    "answers half": (socket) =>
      socket.end("HTTP/1.1 200 OK\r\ncontent-length: 99\r\n\r\n{"),
  };
  for (const [name, answer] of Object.entries(answers)) {
    // Guards against a daemon that ends because of what the service answers.
    it(`goes on: it ${name}`, async () => {
      const service = createServer((socket) => {
        socket.on("error", () => {});
        socket.once("data", () => answer(socket));
      });
      servers.push(service);
      await new Promise<void>((resolve) =>
        service.listen(0, "127.0.0.1", resolve)
      );
      const { port } = service.address() as AddressInfo;
      const flags = { "store-url": `http://127.0.0.1:${port}` };
      const daemon = await start({ flags });
      expect(await daemon.serves()).toEqual(true);
      await expectSurvival(daemon);
      await expectStop(daemon);
    });
  }
});

describe("daemon with an invalid setting", CONCURRENTLY, () => {
  const invalid: Record<string, string> = {
    "listen": "127.0.0.1:99999",
    "sibling-listen": "127.0.0.1:99999",
    "statsd": "127.0.0.1:99999",
    "store-url": "http://",
  };
  for (const [flag, value] of Object.entries(invalid)) {
    it(`ends with status 2 and one line: ${flag}`, async () => {
      const daemon = await start({ flags: { [flag]: value } });
      expect(await daemon.exited).toEqual({ status: 2, signal: null });
      expect(daemon.text.trim().split("\n").length).toEqual(1);
      expect(daemon.text.includes(`--${flag}`)).toEqual(true);
    });
  }
});
