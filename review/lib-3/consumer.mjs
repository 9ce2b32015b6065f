// Stand-in of a consumer's attempts.
import { request } from "node:http";
import { randomBytes } from "node:crypto";

export const newId = () => randomBytes(8).toString("hex");

/**
 * Sends one attempt. Resolves with { id, status, headers, body, events,
 * isWhole } when its answer is over; status 0 if there is none. `abort.now()`
 * closes the channel; `onEvent(event)` is called for each event of a stream.
 */
export function send(
  { host, port },
  {
    path,
    method = "POST",
    name = "site.example",
    body = "",
    headers = {},
    id = newId(),
    timeoutMs = 8_000,
    onEvent,
    abort,
    agent = false,
  },
) {
  return new Promise((done) => {
    const answer = {
      id,
      sentAt: Date.now(),
      status: 0,
      headers: {},
      body: "",
      events: [],
      isWhole: false,
    };
    const finish = () => {
      answer.endedAt ??= Date.now();
      clearTimeout(timer);
      done(answer);
    };
    const req = request({
      host,
      port,
      path,
      method,
      agent,
      headers: {
        host: name,
        "request-id": id,
        ...(method !== "GET" && { "content-length": Buffer.byteLength(body) }),
        ...headers,
      },
    });
    const timer = setTimeout(() => req.destroy(), timeoutMs);
    if (abort) abort.now = () => req.destroy();
    req.on("error", finish);
    req.on("close", finish);
    req.on("response", (res) => {
      answer.status = res.statusCode;
      answer.headers = res.headers;
      let rest = "";
      res.setEncoding("utf8");
      res.on("data", (chunk) => {
        answer.body += chunk;
        rest += chunk;
        let at;
        while ((at = rest.indexOf("\n\n")) >= 0) {
          const event = parse(rest.slice(0, at));
          rest = rest.slice(at + 2);
          if (event.id === undefined) continue;
          answer.events.push(event);
          onEvent?.(event, answer);
        }
      });
      res.on("error", () => {});
      res.on("close", () => {
        answer.isWhole = res.complete;
        finish();
      });
    });
    req.end(body);
  });
}

function parse(text) {
  const event = { data: "" };
  for (const line of text.split("\n")) {
    const at = line.indexOf(":");
    const value = line.slice(at + 1).trimStart();
    if (line.startsWith("id:")) event.id = Number(value);
    else if (line.startsWith("data:")) event.data = value;
  }
  return event;
}
