import wasmBytes from "undici/lib/llhttp/llhttp-wasm.js";

/** Callbacks of one parser; `bytes` is a part of the input. */
export interface LlhttpCallbacks {
  onHeaderField(bytes: Buffer): void;
  onHeaderValue(bytes: Buffer): void;
  /** Returns whether the response has no body whatever its headers say. */
  onHeadersComplete(status: number, canKeepAlive: boolean): boolean;
  /**
   * The body goes on with the bytes of `input` between two indices; each chunk
   * has some of its own.
   */
  onBody(input: Buffer, start: number, end: number): void;
  onMessageComplete(): void;
}

/** Result of `LlhttpParser.execute`. */
export interface Execution {
  /** Number of bytes that were parsed; fewer than given after a response. */
  parsedBytes: number;
  /** Why the bytes are malformed; undefined if they are well formed so far. */
  fault: string | undefined;
}

/** Functions of the WebAssembly module (nodejs/llhttp, `src/native/api.h`). */
interface LlhttpExports {
  memory: WebAssembly.Memory;
  malloc(bytes: number): number;
  llhttp_alloc(type: number): number;
  llhttp_free(parser: number): void;
  llhttp_execute(parser: number, data: number, bytes: number): number;
  llhttp_finish(parser: number): number;
  llhttp_resume(parser: number): void;
  llhttp_get_error_pos(parser: number): number;
  llhttp_get_error_reason(parser: number): number;
  llhttp_get_http_major(parser: number): number;
}

const RESPONSE_TYPE = 2;
const OK = 0;
const PAUSED = 21;
const HAS_NO_BODY = 1;
const HTTP_MAJOR = 1;
/** Size of the part of the module's memory that holds the input, in bytes. */
const INPUT_BYTES = 65_536;
/** Longest error text that is read, in bytes. */
const MAX_REASON_BYTES = 200;

/** The parser at work; the module's callbacks have no argument for it. */
let active: LlhttpParser | undefined;
let loaded: { llhttp: LlhttpExports; inputAt: number } | undefined;

/** Loads the module at the first use. */
function load(): { llhttp: LlhttpExports; inputAt: number } {
  if (loaded) return loaded;
  const span =
    (name: "onHeaderField" | "onHeaderValue") =>
    (_parser: number, at: number, bytes: number) => {
      active?.callbacks[name](active.inputPart(at, bytes));
      return OK;
    };
  const env = {
    wasm_on_message_begin: () => OK,
    wasm_on_url: () => OK,
    wasm_on_status: () => OK,
    wasm_on_header_field: span("onHeaderField"),
    wasm_on_header_value: span("onHeaderValue"),
    wasm_on_body: (_parser: number, at: number, bytes: number) => {
      active?.onBodyAt(at, bytes);
      return OK;
    },
    wasm_on_headers_complete: (
      _parser: number,
      status: number,
      _upgrade: number,
      canKeepAlive: number,
    ) => {
      const hasNoBody = active?.callbacks.onHeadersComplete(
        status,
        canKeepAlive === 1,
      );
      return hasNoBody ? HAS_NO_BODY : OK;
    },
    wasm_on_message_complete: () => {
      active?.callbacks.onMessageComplete();
      return PAUSED;
    },
  };
  const { exports } = new WebAssembly.Instance(
    new WebAssembly.Module(wasmBytes),
    { env },
  );
  const llhttp = exports as unknown as LlhttpExports;
  loaded = { llhttp, inputAt: llhttp.malloc(INPUT_BYTES) };
  return loaded;
}

/**
 * Strict parser of the responses on one connection, with no leniency of llhttp
 * switched on. It stops after each response.
 */
export class LlhttpParser {
  readonly callbacks: LlhttpCallbacks;
  readonly #llhttp: LlhttpExports;
  readonly #inputAt: number;
  /** Address in the module's memory; 0 once freed. */
  #parser: number;
  #input: Buffer = Buffer.alloc(0);

  constructor(callbacks: LlhttpCallbacks) {
    const { llhttp, inputAt } = load();
    this.callbacks = callbacks;
    this.#llhttp = llhttp;
    this.#inputAt = inputAt;
    this.#parser = llhttp.llhttp_alloc(RESPONSE_TYPE);
  }

  /** Parses bytes up to the end of a response. */
  execute(bytes: Buffer): Execution {
    let parsedBytes = 0;
    while (parsedBytes < bytes.length) {
      const piece = bytes.subarray(parsedBytes, parsedBytes + INPUT_BYTES);
      const { code, end } = this.#executePiece(piece);
      parsedBytes += end;
      if (code === PAUSED) {
        this.#llhttp.llhttp_resume(this.#parser);
        return { parsedBytes, fault: undefined };
      }
      if (code !== OK) return { parsedBytes, fault: this.#reason() };
    }
    return { parsedBytes, fault: undefined };
  }

  /**
   * Tells the parser that the connection has ended, which completes a body that
   * lasts until then. Returns whether no response is incomplete.
   */
  finish(): boolean {
    const code = this.#run((parser) => this.#llhttp.llhttp_finish(parser));
    return code === OK || code === PAUSED;
  }

  /** Whether the current response states a version of HTTP/1. */
  get hasKnownVersion(): boolean {
    return this.#llhttp.llhttp_get_http_major(this.#parser) === HTTP_MAJOR;
  }

  /** Releases the memory of the parser, which cannot be used any more. */
  free(): void {
    if (this.#parser !== 0) this.#llhttp.llhttp_free(this.#parser);
    this.#parser = 0;
  }

  /** Returns the part of the input that lies at an address of the module. */
  inputPart(at: number, bytes: number): Buffer {
    const start = at - this.#inputAt;
    return this.#input.subarray(start, start + bytes);
  }

  /** Reports the part of the body that lies at an address of the module. */
  onBodyAt(at: number, bytes: number): void {
    const start = at - this.#inputAt;
    this.callbacks.onBody(this.#input, start, start + bytes);
  }

  #executePiece(piece: Buffer): { code: number; end: number } {
    const { memory } = this.#llhttp;
    const inputAt = this.#inputAt;
    new Uint8Array(memory.buffer, inputAt, piece.length).set(piece);
    this.#input = piece;
    const code = this.#run((parser) =>
      this.#llhttp.llhttp_execute(parser, inputAt, piece.length)
    );
    if (code === OK) return { code, end: piece.length };
    const end = this.#llhttp.llhttp_get_error_pos(this.#parser) - inputAt;
    return { code, end };
  }

  #run(fn: (parser: number) => number): number {
    active = this;
    try {
      return fn(this.#parser);
    } finally {
      active = undefined;
    }
  }

  #reason(): string {
    const at = this.#llhttp.llhttp_get_error_reason(this.#parser);
    const { buffer } = this.#llhttp.memory;
    const bytes = Buffer.from(buffer, at, MAX_REASON_BYTES);
    return bytes.toString("latin1", 0, Math.max(0, bytes.indexOf(0)));
  }
}
