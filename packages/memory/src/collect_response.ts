import { ByteCollector } from "./byte_collector.ts";
import { MemoryHolders, type MemoryPurpose } from "./memory_holders.ts";

/** A response exceeds the bound of its request. */
export class ResponseTooLargeError extends Error {
  override readonly name = "ResponseTooLargeError";
}

/** A request was ended because the process lacks memory for its response. */
export class MemoryCutError extends Error {
  override readonly name = "MemoryCutError";
}

/** Headers of a response by name in lower case. */
export type CollectedHeaders = Record<string, string | string[] | undefined>;

/** A response that has been read whole. */
export interface CollectedResponse {
  status: number;
  headers: CollectedHeaders;
  text: string;
}

/** Ends a request in flight. */
export interface RequestControl {
  abort(reason: Error): void;
}

/** Gets the parts of a response, as the HTTP client of the runtime names them. */
export interface ResponseHandler {
  onRequestStart(control: RequestControl): void;
  onResponseStart(
    control: RequestControl,
    status: number,
    headers: CollectedHeaders,
  ): void;
  onResponseData(control: RequestControl, piece: Uint8Array): void;
  onResponseEnd(): void;
  onResponseError(control: RequestControl, err: Error): void;
}

/** Options of `collectResponse`. */
export interface CollectResponseOptions {
  /** Most bytes of the response, with what its pieces cost. */
  maxBytes: number;
  purpose: MemoryPurpose;
  /** Ends the request when it aborts; its reason is what the request fails with. */
  signal: AbortSignal;
  holders?: MemoryHolders | undefined;
}

/** What reading a piece of a response counts, besides its bytes. */
const PIECE_BYTES = 32;

/**
 * Sends a request and reads its response piece by piece into one collector, with
 * no stream between, which would keep an entry for each piece.
 *
 * @throws {ResponseTooLargeError} if the response exceeds the bound
 */
export function collectResponse(
  opts: CollectResponseOptions,
  dispatch: (handler: ResponseHandler) => void,
): Promise<CollectedResponse> {
  return new Promise((resolve, reject) => {
    const reader = new ResponseReader(opts, { resolve, reject });
    if (!reader.hasFailed) dispatch(reader);
  });
}

/** How a request ends. */
interface Outcome {
  resolve: (res: CollectedResponse) => void;
  reject: (err: unknown) => void;
}

/** Reads the response to one request, and ends the request beyond its bounds. */
class ResponseReader implements ResponseHandler {
  readonly #collector: ByteCollector;
  readonly #opts: CollectResponseOptions;
  readonly #outcome: Outcome;
  readonly #removeHolder: () => void;
  readonly #onAbort = () => this.#fail(this.#opts.signal.reason);
  #control: RequestControl | undefined;
  #failure: Error | undefined;
  #status = 0;
  #headers: CollectedHeaders = {};
  #readBytes = 0;

  constructor(opts: CollectResponseOptions, outcome: Outcome) {
    const { maxBytes, purpose, signal, holders = new MemoryHolders() } = opts;
    this.#collector = new ByteCollector({ maxBytes });
    this.#opts = opts;
    this.#outcome = outcome;
    this.#removeHolder = holders.add({
      purpose,
      keptBytes: () => this.#collector.keptBytes,
      cut: () => this.#fail(new MemoryCutError("the process lacks memory")),
    });
    signal.addEventListener("abort", this.#onAbort);
    if (signal.aborted) this.#onAbort();
  }

  get hasFailed(): boolean {
    return this.#failure !== undefined;
  }

  onRequestStart(control: RequestControl): void {
    this.#control = control;
    // The request may have ended while it waited for a connection.
    if (this.#failure) control.abort(this.#failure);
  }

  /** Called for informational responses as well; the last one counts. */
  onResponseStart(
    _control: RequestControl,
    status: number,
    headers: CollectedHeaders,
  ): void {
    this.#status = status;
    this.#headers = headers;
  }

  onResponseData(_control: RequestControl, piece: Uint8Array): void {
    if (this.#failure) return;
    const { maxBytes } = this.#opts;
    this.#readBytes += piece.length + PIECE_BYTES;
    if (this.#readBytes <= maxBytes && this.#collector.push(piece)) return;
    this.#fail(
      new ResponseTooLargeError(`the response exceeds ${maxBytes} bytes`),
    );
  }

  onResponseEnd(): void {
    if (this.#failure) return;
    this.#finish();
    this.#outcome.resolve({
      status: this.#status,
      headers: this.#headers,
      text: this.#collector.takeText(),
    });
  }

  onResponseError(_control: RequestControl, err: Error): void {
    this.#fail(err);
  }

  #fail(reason: unknown): void {
    if (this.#failure) return;
    const err = reason instanceof Error ? reason : new Error(String(reason));
    this.#failure = err;
    this.#finish();
    this.#collector.clear();
    this.#outcome.reject(err);
    this.#control?.abort(err);
  }

  #finish(): void {
    this.#removeHolder();
    this.#opts.signal.removeEventListener("abort", this.#onAbort);
  }
}
