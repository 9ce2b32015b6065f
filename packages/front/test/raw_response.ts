import type { BodyDelimiter } from "@toucantrestle/upstream_channel";
import type { ServerResponse } from "node:http";

/** Response of an upstream as raw bytes. */
export interface RawResponse {
  delimiter: BodyDelimiter;
  /** The part of the body that is sent. */
  body: string;
  /** True if the body lacks its rest. */
  isCut: boolean;
  /** How the connection ends after a body that is cut or has no length. */
  ending: "close" | "reset";
}

/** Time between the last byte and the reset of a connection, in ms. */
const RESET_DELAY_MS = 20;

/** Writes a response to the connection of a request, byte by byte as given. */
export function writeRaw(res: ServerResponse, response: RawResponse): void {
  const { delimiter, body, isCut, ending } = response;
  const { socket } = res.req;
  const bytes = Buffer.byteLength(body);
  const chunk = bytes === 0 ? "" : `${bytes.toString(16)}\r\n${body}\r\n`;
  const framed: Record<BodyDelimiter, [header: string, body: string]> = {
    length: [`content-length: ${isCut ? bytes + 10 : bytes}\r\n`, body],
    chunked: [
      "transfer-encoding: chunked\r\n",
      isCut ? chunk : `${chunk}0\r\n\r\n`,
    ],
    close: ["", body],
  };
  const [header, framedBody] = framed[delimiter];
  const id = `x-id: ${res.getHeader("x-id")}\r\n`;
  const mark = `x-mark: ${res.getHeader("x-mark")}\r\n`;
  socket.write(`HTTP/1.1 200 OK\r\n${id}${mark}${header}\r\n${framedBody}`);
  if (ending === "reset") {
    setTimeout(() => socket.resetAndDestroy(), RESET_DELAY_MS);
  } else if (isCut || delimiter === "close") socket.end();
}
