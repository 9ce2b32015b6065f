/**
 * Forwards requests to one upstream and responses back, with nothing but the
 * HTTP library of Node.js. Arguments: the listen address and that of the
 * upstream.
 *
 * @module
 */
import { Agent, createServer, request } from "node:http";
import process from "node:process";

const [callerAddress = "", upstreamAddress = ""] = process.argv.slice(2);
const agent = new Agent({ keepAlive: true });
const upstream = new URL(`http://${upstreamAddress}`);
const own = new URL(`http://${callerAddress}`);

const server = createServer((req, res) => {
  const forwarded = request({
    host: upstream.hostname,
    port: upstream.port,
    method: req.method,
    path: req.url,
    headers: req.headers,
    agent,
  }, (received) => {
    res.writeHead(received.statusCode ?? 502, received.headers);
    received.pipe(res);
  });
  forwarded.on("error", () => res.destroy());
  req.pipe(forwarded);
});
server.listen(Number(own.port), own.hostname);
