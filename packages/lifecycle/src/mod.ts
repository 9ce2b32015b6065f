/**
 * Start and end of a process: its signals, the dependencies that it awaits, and
 * the few reasons for which it may end.
 *
 * @module
 */
export {
  awaitDependency,
  type AwaitOptions,
  type Dependency,
  StoppedWaitingError,
} from "./await_dependency.ts";
export {
  type EndOptions,
  endProcess,
  EXIT_RULES,
  ExitError,
  exitNow,
  type ExitReason,
  type ExitRule,
} from "./exit.ts";
export { FailureGuard, guardFailures } from "./failures.ts";
export { type ListenOptions, listenWhenFree } from "./listen.ts";
export { handleOutputErrors } from "./output.ts";
export {
  RunningProcess,
  type RunningProcessOptions,
} from "./running_process.ts";
export { ProcessSignals, type SignalRequest, takeSignals } from "./signals.ts";
