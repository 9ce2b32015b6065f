/** Reference to a host: by name, or as the owner or a holder of a program. */
export type HostRef =
  | { by: "name"; name: string }
  | { by: "owner"; program: string }
  | { by: "holder"; program: string };

/** Outcome of a call or an edit that a script can expect. */
export type ExpectedOutcome =
  | "answered"
  | "not_run"
  | "may_have_run"
  | "refused"
  | "accepted";

/** Parameters of a step, by kind. Times in ms. */
export type StepBody =
  | {
    kind: "fleet";
    daemons: number;
    dataCentres: number;
    engines: number;
    services: number;
    tailCopies: number;
  }
  | { kind: "let"; name: string; host: HostRef }
  | {
    kind: "start";
    program: string;
    caller: string;
    budget: number | null;
    parent: string | null;
  }
  | {
    kind: "chat";
    program: string;
    text: string;
    streamed: boolean;
    label: string | null;
  }
  | { kind: "post"; program: string; route: string; label: string | null }
  | { kind: "end"; program: string }
  | { kind: "signal"; signal: "SIGKILL" | "SIGSTOP" | "SIGCONT"; host: HostRef }
  | { kind: "restart"; host: HostRef }
  | { kind: "drain"; host: HostRef; label: string | null }
  | { kind: "cut"; host: HostRef; other: HostRef }
  | { kind: "heal" }
  | { kind: "store"; faults: unknown }
  | { kind: "fault"; name: string; faults: unknown }
  | { kind: "list"; name: string; state: "leaving" | "live" }
  | {
    kind: "edit";
    row: string;
    column: string;
    value: string;
    at: HostRef | null;
    label: string | null;
  }
  | { kind: "wait"; ms: number }
  | { kind: "await"; name: string }
  | { kind: "expect_owner_not"; program: string; name: string }
  | { kind: "expect_executions"; route: string; count: number }
  | { kind: "expect_table"; ms: number }
  | { kind: "expect_released"; program: string; ms: number }
  | { kind: "expect_store_rate"; count: number }
  | { kind: "expect_running"; count: number; prefix: string }
  | { kind: "expect_calls"; count: number }
  | { kind: "expect_no_work"; name: string; ms: number }
  | {
    kind: "expect_outcome";
    name: string;
    outcome: ExpectedOutcome;
    within: number | null;
  };

/** A step of a script, with its line number. */
export type Step = StepBody & { line: number };
