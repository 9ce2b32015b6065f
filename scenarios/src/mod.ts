/**
 * Scenario parser, scenario runner and history checker.
 *
 * @module
 */
export { parseScript, ScriptError } from "./language/parse.ts";
export type { Step } from "./language/step.ts";
export { checkHistory, CHECKS, type Violation } from "./history/checker.ts";
export type * from "./history/history.ts";
export { createHistory } from "./history/history.ts";
export { runScenario, type ScenarioResult } from "./environment/runner.ts";
