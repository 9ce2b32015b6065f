import type { FleetSnapshot } from "@toucantrestle/fleet";
import type {
  Inventory,
  PromptHint,
  Spending,
  TurnRecord,
  View,
} from "@toucantrestle/turn_log";

/** Why a replica did not serve a request. */
export type Refusal =
  /** It knows a newer view, which it hands out. */
  | { status: "moved"; view: View }
  /** It does not know the view of the request yet. */
  | { status: "behind" }
  /** It lacks what it must have, or keep, to serve the request. */
  | { status: "copying" };

/** Reply of a replica. */
export type Reply<T> =
  | Refusal
  | ({
    status: "ok";
    /** Whether the replica has copied all that its view asks of it. */
    isComplete: boolean;
  } & T);

/** A turn without its expiry, which the replica sets by its own clock. */
export type NewTurn = Omit<TurnRecord, "kind" | "expiresAt">;

/** Reservation of tokens for one turn. */
export interface ReserveArgs {
  viewNumber: number;
  program: string;
  turn: string;
  /** Most tokens that the turn may hand out. */
  tokens: number;
  /** How long it must be remembered, in ms. */
  keepMs: number;
}

/** Tokens that a turn has handed out in the end. */
export interface SettleNotice {
  program: string;
  turn: string;
  reserved: number;
  settled: number;
  /** Where the prompt was read; undefined when it was not. */
  hint: PromptHint | undefined;
  keepMs: number;
}

/** Requests to a turn store. */
export type StoreMethods = {
  /** Writes a reservation to the disk. */
  reserve: { args: ReserveArgs; result: Reply<object> };
  /** Reads what is known of a program's spending. */
  spending: {
    args: { viewNumber: number; program: string };
    result: Reply<{ spending: Spending; hints: PromptHint[] }>;
  };
  find: {
    args: { viewNumber: number; id: string };
    result: Reply<{ turn: TurnRecord | undefined }>;
  };
  put: {
    args: { viewNumber: number; turn: NewTurn; keepMs: number };
    result: Reply<object>;
  };
  /** What this store holds of the keys that a member of a view keeps. */
  inventory: {
    args: { view: View; member: string };
    result: Reply<{ inventory: Inventory }>;
  };
  fetch: { args: { ids: string[] }; result: { turns: TurnRecord[] } };
  status: {
    args: Record<string, never>;
    result: { id: string; viewNumber: number; isComplete: boolean };
  };
  fleet: { args: Record<string, never>; result: FleetSnapshot };
};

/** Notices to a turn store. */
export type StoreNotices = {
  settle: SettleNotice;
  view: View;
};
