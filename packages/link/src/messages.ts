/** Requests by name: what they carry and what they return. */
export type MethodTable = Record<string, { args: unknown; result: unknown }>;

/** One-way messages by name. */
export type NoticeTable = Record<string, unknown>;

/** First message of the side that dialled. */
export interface Hello {
  t: "hello";
  /** Name of the host that dialled. */
  host: string;
}

/** Everything that travels over a link. */
export type LinkMessage =
  | Hello
  | { t: "ping" }
  | { t: "pong" }
  | { t: "notice"; name: string; body: unknown }
  | { t: "request"; id: number; name: string; args: unknown }
  | { t: "result"; id: number; result: unknown }
  | { t: "failure"; id: number; message: string };
