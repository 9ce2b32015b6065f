import type { ChatMessage } from "@toucantrestle/program";

/** Starts a program, with an optional budget in tokens. */
export interface StartRequest {
  kind: "start";
  program: string;
  requestId: string;
  parent: string | undefined;
  budgetTokens: number | undefined;
}

/** Calls a model. */
export interface CompleteRequest {
  kind: "complete";
  program: string;
  step: number | undefined;
  requestId: string;
  model: string;
  messages: ChatMessage[];
  maxTokens: number | undefined;
  stream: boolean;
  /** Other fields of the completions request, passed to the engine as is. */
  extra: Record<string, unknown>;
  /** Hash of the content, to distinguish retries from changed requests. */
  fingerprint: string;
  /** Whether to start the program if it is new, and end it after the call. */
  isSingle: boolean;
}

/** Calls a service route. */
export interface ServiceRequest {
  kind: "service";
  program: string;
  step: number | undefined;
  requestId: string;
  route: string;
  /** JSON text. */
  body: string;
  fingerprint: string;
}

/** Ends a program. */
export interface EndRequest {
  kind: "end";
  program: string;
}

/** Returns a program's state. */
export interface ShowRequest {
  kind: "show";
  program: string;
}

/** Returns the recorded outcome of a step. */
export interface FetchStepRequest {
  kind: "fetch_step";
  program: string;
  step: number;
}

/** Any request of a caller that concerns one program. */
export type CallerRequest =
  | StartRequest
  | CompleteRequest
  | ServiceRequest
  | EndRequest
  | ShowRequest
  | FetchStepRequest;

/** Start of the response to a caller's request. */
export interface ResponseStart {
  status: number;
  contentType: string;
  /**
   * True if the body may be incomplete, because only the end of the upstream's
   * connection marked its end. The response to the caller ends in the same way.
   */
  endsWithConnection?: boolean;
}

/** Receives the response to a caller's request as a stream. */
export interface ResponseSink {
  /** Sends the status and headers. Called at most once. */
  head(start: ResponseStart): void;
  data(text: string): void;
  /** Completes the response. */
  end(): void;
  /** Whether `head` has been called. */
  readonly hasStarted: boolean;
}
