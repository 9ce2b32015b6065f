import { expect } from "earl";
import { createServer, request } from "node:http";
import type { IncomingHttpHeaders, Server } from "node:http";
import type { AddressInfo } from "node:net";
import { afterEach, describe, it } from "node:test";
import { createHttpSink } from "../src/http_sink.ts";

let server: Server | undefined;

afterEach(() => {
  server?.closeAllConnections();
  server?.close();
});

interface Response {
  headers: IncomingHttpHeaders;
  body: string;
}

/** Writes a response through a sink and returns it as a caller receives it. */
async function respondThroughSink(
  endsWithConnection: boolean,
): Promise<Response> {
  server = createServer((_req, res) => {
    const sink = createHttpSink(res);
    sink.head({ status: 200, contentType: "text/plain", endsWithConnection });
    sink.data("half of it");
    sink.end();
  });
  await new Promise<void>((resolve) => server?.listen(0, "127.0.0.1", resolve));
  const { port } = server.address() as AddressInfo;
  return await new Promise((resolve, reject) => {
    request({ host: "127.0.0.1", port, agent: false }, (res) => {
      let body = "";
      res.on("data", (chunk) => body += chunk);
      res.on("end", () => resolve({ headers: res.headers, body }));
    }).on("error", reject).end();
  });
}

// Guards against claiming that a body is complete when its upstream did not.
describe("a response to a caller", () => {
  it("marks the end of its body", async () => {
    const { headers, body } = await respondThroughSink(false);
    expect([body, headers["transfer-encoding"]])
      .toEqual(["half of it", "chunked"]);
  });

  it("ends with its connection if the upstream's response did", async () => {
    const { headers, body } = await respondThroughSink(true);
    expect(body).toEqual("half of it");
    expect(headers["transfer-encoding"]).toEqual(undefined);
    expect(headers["content-length"]).toEqual(undefined);
    expect(headers.connection).toEqual("close");
  });
});
