/**
 * Clock and timers behind one interface.
 *
 * @module
 */
export { MAX_RUNTIME_DELAY_MS, toRuntimeDelayMs } from "./delay.ts";
export { sleep, type Subscription, type Timer } from "./timer.ts";
export { createSystemTimer } from "./system_timer.ts";
export { createManualTimer, type ManualTimer } from "./manual_timer.ts";
export { readArrived } from "./read_arrived.ts";
export { startTimeLimit, type TimeLimit } from "./time_limit.ts";
export { createTimerScope, type TimerScope } from "./timer_scope.ts";
