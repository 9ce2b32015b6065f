// Stand-in of a consumer that sees how its channel ends (RFC 9112, section 8:
// which answers are complete).
import { connect } from "node:net";
import { newId } from "./consumer.mjs";

/**
 * Sends one GET. Resolves with { id, status, headers, bodyBytes, endedBy,
 * isComplete }; `endedBy` is "end" (FIN), "reset" or "timeout".
 */
export function sendRaw({ host, port }, { path, name = "site.example", headers = {}, id = newId(), timeoutMs = 8_000 }) {
  return new Promise((done) => {
    const answer = { id, status: 0, headers: {}, bodyBytes: 0, endedBy: "", isComplete: false };
    let head = "";
    let body = Buffer.alloc(0);
    let isInBody = false;
    const socket = connect(port, host, () => {
      const lines = Object.entries({ host: name, "request-id": id, ...headers });
      socket.write(`GET ${path} HTTP/1.1\r\n${lines.map(([k, v]) => `${k}: ${v}\r\n`).join("")}\r\n`);
    });
    const finish = (endedBy) => {
      if (answer.endedBy) return;
      answer.endedBy = endedBy;
      clearTimeout(timer);
      socket.destroy();
      if (isInBody) judge(answer, body);
      done(answer);
    };
    const timer = setTimeout(() => finish("timeout"), timeoutMs);
    socket.on("data", (chunk) => {
      if (isInBody) body = Buffer.concat([body, chunk]);
      else {
        head += chunk.toString("latin1");
        const end = head.indexOf("\r\n\r\n");
        if (end < 0) return;
        isInBody = true;
        body = Buffer.from(head.slice(end + 4), "latin1");
        const [status, ...lines] = head.slice(0, end).split("\r\n");
        answer.status = Number(status.split(" ")[1]);
        for (const line of lines) {
          const at = line.indexOf(":");
          answer.headers[line.slice(0, at).toLowerCase()] = line.slice(at + 1).trim();
        }
      }
      const length = answer.headers["content-length"];
      const isChunked = answer.headers["transfer-encoding"] === "chunked";
      const isOver = length !== undefined ? body.length >= Number(length) : isChunked && body.toString("latin1").endsWith("0\r\n\r\n");
      if (isOver) finish("its framing");
    });
    socket.on("end", () => finish("end"));
    socket.on("error", (err) => finish(err.code === "ECONNRESET" ? "reset" : err.code));
  });
}

/** An answer without length and chunks is complete when its channel ends. */
function judge(answer, body) {
  const length = answer.headers["content-length"];
  if (length !== undefined) {
    answer.bodyBytes = body.length;
    answer.isComplete = body.length === Number(length);
  } else if (answer.headers["transfer-encoding"] === "chunked") {
    const { bytes, isWhole } = dechunk(body);
    answer.bodyBytes = bytes;
    answer.isComplete = isWhole;
  } else {
    answer.bodyBytes = body.length;
    answer.isComplete = answer.endedBy === "end";
  }
}

function dechunk(body) {
  let at = 0;
  let bytes = 0;
  for (;;) {
    const eol = body.indexOf("\r\n", at);
    if (eol < 0) return { bytes, isWhole: false };
    const size = parseInt(body.toString("latin1", at, eol), 16);
    if (size === 0) return { bytes, isWhole: true };
    if (body.length < eol + 2 + size + 2) return { bytes, isWhole: false };
    bytes += size;
    at = eol + 2 + size + 2;
  }
}
