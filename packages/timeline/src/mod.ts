/**
 * Event timeline across processes.
 *
 * @module
 */
export {
  type Clock,
  compareTimestamps,
  createClock,
  type HybridTimestamp,
} from "./clock.ts";
export {
  matchesFilter,
  type TimelineEvent,
  type TimelineFilter,
} from "./event.ts";
export {
  createTimeline,
  type EventInput,
  formatEvent,
  mergeTimelines,
  type Timeline,
} from "./timeline.ts";
export { renderProgramSvg } from "./program_svg.ts";
