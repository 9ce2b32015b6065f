/** Inputs of the decision whether to keep waiting for the replicas. */
export interface WaitInput {
  /** Time that the call has waited so far, in ms. */
  waitedMs: number;
  /** Time until the deadline of the call, in ms. */
  timeLeftMs: number;
  /** True while enough replicas are reachable, directly or through siblings. */
  isReachable: boolean;
  /** Time since too few replicas have been reachable, in ms. */
  unreachableMs: number;
  /** True if the response is complete and only has to be persisted. */
  isResponseReady: boolean;
}

/** Maximum wait for replicas that are reachable but cannot answer yet. */
const REACHABLE_WAIT_MS = 1_000;
/** Maximum wait for replicas that became unreachable a short time ago. */
const UNREACHABLE_WAIT_MS = 400;
/**
 * A restarting replica is reachable again within this time; one that takes
 * longer is expected to stay away for long.
 */
const MAX_RESTART_MS = 2_000;
/** Minimum time until the deadline that allows another attempt. */
const MIN_RETRY_TIME_MS = 60;

/**
 * Returns whether a call should keep waiting for the replicas. It waits only
 * while they are likely to become available soon; otherwise it is better to
 * fail the call and tell its caller when to retry.
 */
export function shouldKeepWaiting(input: WaitInput): boolean {
  if (input.timeLeftMs <= MIN_RETRY_TIME_MS) return false;
  if (input.isResponseReady && input.isReachable) return true;
  if (input.isReachable) return input.waitedMs < REACHABLE_WAIT_MS;
  const mayBeRestarting = input.unreachableMs < MAX_RESTART_MS;
  return mayBeRestarting && input.waitedMs < UNREACHABLE_WAIT_MS;
}
