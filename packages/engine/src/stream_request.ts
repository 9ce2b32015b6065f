import type { Dispatcher } from "undici";
import type { IncomingHttpHeaders } from "node:http";
import { StringDecoder } from "node:string_decoder";

/** A POST request whose response is read in chunks. */
export interface StreamingRequest {
  path: string;
  headers: Record<string, string>;
  body: string;
  /** Aborts the request. */
  signal: AbortSignal;
  /** Called with the HTTP status and the headers, before any text. */
  onHead(status: number, headers: IncomingHttpHeaders): void;
  /** Called with each chunk of text as it arrives. */
  onText(text: string): void;
}

/**
 * Sends a request and passes its response to the callbacks as it arrives.
 * Bypasses Node.js stream objects because a daemon relays tens of thousands of
 * chunks per second.
 */
export function streamRequest(
  dispatcher: Dispatcher,
  req: StreamingRequest,
): Promise<void> {
  return new Promise((resolve, reject) => {
    if (req.signal.aborted) return reject(req.signal.reason);
    const decoder = new StringDecoder("utf8");
    let controller: Dispatcher.DispatchController | undefined;
    const onAbort = () => {
      controller?.abort(req.signal.reason as Error);
      reject(req.signal.reason);
    };
    const finish = (settlePromise: () => void) => {
      req.signal.removeEventListener("abort", onAbort);
      settlePromise();
    };
    req.signal.addEventListener("abort", onAbort);
    const options: Dispatcher.DispatchOptions = {
      path: req.path,
      method: "POST",
      headers: req.headers,
      body: req.body,
    };
    dispatcher.dispatch(options, {
      onRequestStart: (it) => {
        controller = it;
      },
      onResponseStart: (_controller, status, headers) =>
        req.onHead(status, headers),
      onResponseData: (_controller, chunk) => req.onText(decoder.write(chunk)),
      onResponseEnd: () => finish(resolve),
      onResponseError: (_controller, err) => finish(() => reject(err)),
    });
  });
}
