/** What a decision to wait for the replicas looks at. */
export interface WaitInput {
  /** How long the call has waited, in ms. */
  waitedMs: number;
  /** Time that its caller gives it, in ms. */
  timeLeftMs: number;
  /** True while enough replicas can be asked, if only through siblings. */
  isReachable: boolean;
  /** Since when they cannot be asked, in ms. */
  awayForMs: number;
  /** True for an answer that is ready and only has to be kept. */
  isReady: boolean;
}

/** Replicas that can be asked but cannot answer yet are waited for, in ms. */
const ANSWER_WAIT_MS = 1_000;
/** Replicas that have just been lost are waited for, in ms. */
const RETURN_WAIT_MS = 400;
/** Whoever restarts is back within this time or stays away for long, in ms. */
const RESTART_MS = 2_000;
/** Less time than this is too short for another try, in ms. */
const MIN_TIME_LEFT_MS = 60;

/**
 * Whether a call goes on waiting for the replicas. It waits for what is about
 * to come; after that its caller is better off being told when to return.
 */
export function mayWait(input: WaitInput): boolean {
  if (input.timeLeftMs <= MIN_TIME_LEFT_MS) return false;
  if (input.isReady && input.isReachable) return true;
  if (input.isReachable) return input.waitedMs < ANSWER_WAIT_MS;
  const isRestart = input.awayForMs < RESTART_MS;
  return isRestart && input.waitedMs < RETURN_WAIT_MS;
}
