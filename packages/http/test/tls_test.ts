import { createNoopLoggers } from "@toucantrestle/log";
import { createSystemTimer } from "@toucantrestle/timer";
import { expect } from "earl";
import { createServer } from "node:net";
import { after, before, describe, it } from "node:test";
import { connect } from "node:tls";
import { generate } from "selfsigned";
import { createHttpServer, type HttpServer, type HttpTls } from "../src/mod.ts";

const LISTEN_OPTIONS = {
  timer: createSystemTimer(),
  log: createNoopLoggers()("http"),
};

async function createTls(name: string): Promise<HttpTls> {
  const pems = await generate([{ name: "commonName", value: name }]);
  return { cert: pems.cert, key: pems.private };
}

async function findFreePort(): Promise<number> {
  return await new Promise((resolve) => {
    const server = createServer();
    server.listen(0, "127.0.0.1", () => {
      const address = server.address();
      const port = typeof address === "object" ? address?.port ?? 0 : 0;
      server.close(() => resolve(port));
    });
  });
}

/** Returns the common name of the certificate presented on a port. */
function readCertificateName(port: number): Promise<string> {
  return new Promise((resolve, reject) => {
    const opts = { host: "127.0.0.1", port, rejectUnauthorized: false };
    const socket = connect(opts, () => {
      resolve(String(socket.getPeerCertificate().subject.CN));
      socket.destroy();
    });
    socket.on("error", reject);
  });
}

describe("HTTPS server", () => {
  let server: HttpServer;
  let port: number;

  before(async () => {
    port = await findFreePort();
    server = createHttpServer({
      routes: [],
      maxBodyBytes: 1_000,
      tls: await createTls("first"),
      timer: LISTEN_OPTIONS.timer,
      authenticate: () => undefined,
      isReady: () => true,
      onError: () => {},
    });
    await server.listen(`127.0.0.1:${port}`, LISTEN_OPTIONS);
  });

  after(() => server.drain());

  it("replaces its certificate without a restart", async () => {
    expect(await readCertificateName(port)).toEqual("first");
    server.setTls(await createTls("second"));
    expect(await readCertificateName(port)).toEqual("second");
  });
});
