import type { Dispatcher } from "undici";
import { StringDecoder } from "node:string_decoder";

/** A request whose answer is read piece by piece. */
export interface StreamedRequest {
  path: string;
  headers: Record<string, string>;
  body: string;
  signal: AbortSignal;
  /** Called with the status, before any text. */
  onStatus(status: number): void;
  /** Called with each piece of text as it comes. */
  onText(text: string): void;
}

/**
 * Sends a request and hands its answer on as it comes, without a stream object
 * in between: a daemon relays tens of thousands of pieces a second.
 */
export function exchangeStreamed(
  dispatcher: Dispatcher,
  req: StreamedRequest,
): Promise<void> {
  return new Promise((resolve, reject) => {
    if (req.signal.aborted) return reject(req.signal.reason);
    const decoder = new StringDecoder("utf8");
    let controller: Dispatcher.DispatchController | undefined;
    const onAbort = () => {
      controller?.abort(req.signal.reason as Error);
      reject(req.signal.reason);
    };
    const finish = (settle: () => void) => {
      req.signal.removeEventListener("abort", onAbort);
      settle();
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
      onResponseStart: (_controller, status) => req.onStatus(status),
      onResponseData: (_controller, chunk) => req.onText(decoder.write(chunk)),
      onResponseEnd: () => finish(resolve),
      onResponseError: (_controller, err) => finish(() => reject(err)),
    });
  });
}
