/** Argument and result types of requests, by request name. */
export type MethodTable = Record<string, { args: unknown; result: unknown }>;

/** Body types of one-way messages, by notice name. */
export type NoticeTable = Record<string, unknown>;

/**
 * Argument, part and control types of streams, by stream name. Parts go to the
 * side that opened the stream, controls to the other one.
 */
export type StreamTable = Record<
  string,
  { args: unknown; part: unknown; control: unknown }
>;

/** First message on a link, sent by the side that dialled. */
export interface Hello {
  t: "hello";
  /** Name of the host that dialled. */
  host: string;
}

/** Any message that is sent over a link. */
export type LinkMessage =
  | Hello
  | { t: "ping" }
  | { t: "pong" }
  | { t: "notice"; name: string; body: unknown }
  | { t: "request"; id: number; name: string; args: unknown }
  | { t: "result"; id: number; result: unknown }
  | { t: "failure"; id: number; message: string }
  | { t: "open"; id: number; name: string; args: unknown }
  | { t: "part"; id: number; body: unknown }
  | { t: "end"; id: number }
  | { t: "control"; id: number; body: unknown };
