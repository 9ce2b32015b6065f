/**
 * Clock and timers behind one interface.
 *
 * @module
 */
export { sleep, type Subscription, type Timer } from "./timer.ts";
export { createSystemTimer } from "./system_timer.ts";
export { createManualTimer, type ManualTimer } from "./manual_timer.ts";
export { createTimerScope, type TimerScope } from "./timer_scope.ts";
