import { BodyJoiner } from "./body_joiner.ts";
import type { ResponseHead } from "./exchange.ts";
import { LlhttpParser } from "./llhttp.ts";
import { checkResponseHead } from "./response_head.ts";

/**
 * Part of a response, in the order in which the connection brought them. One
 * call of `parse` returns a head, one part of body for each 64 KB of
 * its bytes and an end at most.
 */
export type ResponsePart =
  | { kind: "head"; head: ResponseHead; canKeepAlive: boolean }
  | { kind: "data"; bytes: Buffer }
  | { kind: "end" };

/** Result of `ResponseParser.parse`. */
export interface ParsedBytes {
  parts: ResponsePart[];
  /** Bytes after the end of a response, which were not parsed. */
  rest: Buffer;
  /** Why the bytes after the parts are malformed; undefined if they are not. */
  fault: string | undefined;
}

/**
 * Splits the bytes of a connection into responses, and decides which bytes are
 * a response at all. After a fault the connection must not be read on.
 */
export class ResponseParser {
  readonly #parser: LlhttpParser;
  /** Whether the responses have no body, as those to `HEAD`. */
  #skipsBodies = false;
  #parts: ResponsePart[] = [];
  readonly #body = new BodyJoiner((bytes) =>
    this.#parts.push({ kind: "data", bytes })
  );
  #fault: string | undefined;
  #rawHeaders: string[] = [];
  #isInHead = true;
  /** Whether the last bytes belong to the value of a header. */
  #isInValue = false;

  constructor() {
    this.#parser = new LlhttpParser({
      onHeaderField: (bytes) => this.#onHeaderField(bytes),
      onHeaderValue: (bytes) => this.#onHeaderValue(bytes),
      onHeadersComplete: (status, canKeepAlive) =>
        this.#onHeadersComplete(status, canKeepAlive),
      onBody: (input, start, end) => this.#onBody(input, start, end),
      onMessageComplete: () => this.#onMessageComplete(),
    });
  }

  /** Called when a request is sent, whose response is parsed next. */
  expectResponseTo(method: string): void {
    this.#skipsBodies = method === "HEAD";
  }

  /** Parses bytes up to the end of one response. */
  parse(bytes: Buffer): ParsedBytes {
    const { parsedBytes, fault } = this.#parser.execute(bytes);
    return {
      parts: this.#takeParts(),
      rest: bytes.subarray(parsedBytes),
      fault: this.#fault ?? fault,
    };
  }

  /**
   * Returns the last parts when the connection has ended: the end of a response
   * whose body lasts until then, or nothing.
   */
  finish(): ResponsePart[] {
    const isWhole = this.#fault === undefined && this.#parser.finish();
    return isWhole ? this.#takeParts() : [];
  }

  /** Releases the memory of the parser, which cannot be used any more. */
  free(): void {
    this.#parser.free();
  }

  #takeParts(): ResponsePart[] {
    this.#body.flush();
    const parts = this.#parts;
    this.#parts = [];
    return parts;
  }

  #onHeaderField(bytes: Buffer): void {
    if (!this.#isInHead) return;
    if (this.#isInValue || this.#rawHeaders.length === 0) {
      this.#rawHeaders.push("", "");
    }
    this.#isInValue = false;
    this.#append(-2, bytes);
  }

  #onHeaderValue(bytes: Buffer): void {
    if (!this.#isInHead) return;
    this.#isInValue = true;
    this.#append(-1, bytes);
  }

  /** Appends to the last name (-2) or value (-1). */
  #append(index: -2 | -1, bytes: Buffer): void {
    const at = this.#rawHeaders.length + index;
    this.#rawHeaders[at] += bytes.toString("latin1");
  }

  #onHeadersComplete(status: number, canKeepAlive: boolean): boolean {
    const rawHeaders = this.#rawHeaders;
    this.#rawHeaders = [];
    this.#isInHead = false;
    this.#isInValue = false;
    if (!this.#parser.hasKnownVersion) {
      this.#fault ??= "the version of the protocol is not 1";
      return this.#skipsBodies;
    }
    const check = checkResponseHead({ status, rawHeaders });
    if (check.kind === "malformed") this.#fault ??= check.reason;
    if (this.#fault === undefined && check.kind === "valid") {
      this.#parts.push({ kind: "head", head: check.head, canKeepAlive });
    }
    return this.#skipsBodies;
  }

  #onBody(input: Buffer, start: number, end: number): void {
    if (this.#fault === undefined) this.#body.push(input, start, end);
  }

  #onMessageComplete(): void {
    this.#isInHead = true;
    this.#body.flush();
    if (this.#fault === undefined) this.#parts.push({ kind: "end" });
  }
}
