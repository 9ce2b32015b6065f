import type { ChatMessage } from "@toucantrestle/program";

/** Starts a program. Budget in tokens. */
export interface StartRequest {
  kind: "start";
  program: string;
  requestId: string;
  parent: string | undefined;
  budgetTokens: number | undefined;
}

/** A model call. */
export interface CompleteRequest {
  kind: "complete";
  program: string;
  step: number | undefined;
  requestId: string;
  model: string;
  messages: ChatMessage[];
  maxTokens: number | undefined;
  stream: boolean;
  /** Other fields of the usual protocol, passed through to the engine. */
  extra: Record<string, unknown>;
  /** Hash of the content, to tell repeats from changed requests. */
  fingerprint: string;
  /** Starts the program if it is new and ends it after the call. */
  isSingle: boolean;
}

/** A call of a service route. */
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

/** Shows a program's state. */
export interface ShowRequest {
  kind: "show";
  program: string;
}

/** Fetches the recorded answer of a step. */
export interface FetchStepRequest {
  kind: "fetch_step";
  program: string;
  step: number;
}

/** Anything a caller may ask about one program. */
export type CallerRequest =
  | StartRequest
  | CompleteRequest
  | ServiceRequest
  | EndRequest
  | ShowRequest
  | FetchStepRequest;

/** Where the answer to a caller's request goes, piece by piece. */
export interface AnswerSink {
  /** Starts the answer. Called at most once. */
  head(status: number, contentType: string): void;
  data(text: string): void;
  end(): void;
  /** Whether the answer has started. */
  readonly hasStarted: boolean;
}
