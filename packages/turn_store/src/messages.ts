import type { FleetSnapshot } from "@toucantrestle/fleet";
import type {
  Inventory,
  PromptHint,
  Spending,
  StreamOrigin,
  TurnRecord,
  View,
} from "@toucantrestle/turn_log";

/** Reason why a replica did not serve a request. */
export type Refusal =
  /** The view of the request is outdated; the reply carries the newer one. */
  | { status: "moved"; view: View }
  /** The replica does not know the view of the request yet. */
  | { status: "behind" }
  /**
   * The replica does not store the key in its current view, or has not copied
   * the records that it needs to serve the request, or stops.
   */
  | { status: "copying" };

/** Reply of a replica. */
export type Reply<T> =
  | Refusal
  | ({
    status: "ok";
    /** Whether the replica has copied all records of its current view. */
    isComplete: boolean;
  } & T);

/** A turn without its expiry, which the replica derives from its own clock. */
export type NewTurn = Omit<TurnRecord, "kind" | "expiresAt">;

/** Request to reserve tokens of a program's budget for one turn. */
export interface ReserveArgs {
  viewNumber: number;
  program: string;
  turn: string;
  /** Maximum number of tokens that the turn may spend. */
  tokens: number;
  /** Where the turn's stream begins; undefined if it cannot be resumed. */
  origin: StreamOrigin | undefined;
  /** Retention period of the reservation, in ms. */
  keepMs: number;
}

/** Request for the spending of a program. */
export interface SpendingArgs {
  viewNumber: number;
  program: string;
  resumed: ResumedStream | undefined;
  /** Retention period of new records, in ms; earlier builds do not send it. */
  keepMs?: number;
}

/** What a replica knows of a program. */
export interface ProgramSpending {
  spending: Spending;
  hints: PromptHint[];
  origins: StreamOrigin[];
  /**
   * Turns whose records may expire, at the replicas that they were written to,
   * before the records of a turn that is reserved now; missing from replicas of
   * earlier builds.
   */
  ageing?: string[];
}

/** Request to store spending of a program that is missing at a replica. */
export interface RetainArgs {
  viewNumber: number;
  program: string;
  spending: Spending;
  /** Retention period of the records, in ms. */
  keepMs: number;
}

/** Stream of a program that a turn resumes. */
export interface ResumedStream {
  /** Turn that began it; undefined if its caller does not name it. */
  turn: string | undefined;
}

/** Notice of the number of tokens that a turn spent in the end. */
export interface SettleNotice {
  program: string;
  turn: string;
  reserved: number;
  settled: number;
  /** Where the prompt was processed; undefined if it was not. */
  hint: PromptHint | undefined;
  origin: StreamOrigin | undefined;
  keepMs: number;
}

/** Request methods of a turn store. */
export type StoreMethods = {
  /** Persists a reservation. */
  reserve: { args: ReserveArgs; result: Reply<object> };
  /**
   * Returns the known spending and prompt hints of a program, and where the
   * resumed stream may have begun.
   */
  spending: { args: SpendingArgs; result: Reply<ProgramSpending> };
  /** Persists spending that other replicas of the program have reported. */
  retain: { args: RetainArgs; result: Reply<object> };
  /** Looks up a turn by its id. */
  find: {
    args: { viewNumber: number; id: string };
    result: Reply<{ turn: TurnRecord | undefined }>;
  };
  /** Persists a turn. */
  put: {
    args: { viewNumber: number; turn: NewTurn; keepMs: number };
    result: Reply<object>;
  };
  /** Lists the records of this store whose keys a member of a view stores. */
  inventory: {
    args: { view: View; member: string };
    result: Reply<{ inventory: Inventory }>;
  };
  /** Returns turns by their ids, up to a size limit per reply. */
  fetch: { args: { ids: string[] }; result: { turns: TurnRecord[] } };
  /** Returns the identity of the replica and the state of its view. */
  status: {
    /** Id of the store that asks; earlier builds do not send it. */
    args: { id?: string };
    result: { id: string; viewNumber: number; isComplete: boolean };
  };
  /** Returns the registered hosts and the view that this store knows. */
  fleet: { args: Record<string, never>; result: FleetSnapshot };
};

/** One-way notices to a turn store. */
export type StoreNotices = {
  /** Replaces a reservation by the tokens that were spent. */
  settle: SettleNotice;
  /** Announces a view to a replica that is behind. */
  view: View;
};
