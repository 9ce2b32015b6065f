/**
 * The scheduler daemon as a library.
 *
 * @module
 */
export { Daemon } from "./daemon.ts";
export { DAEMON_SETTINGS, type DaemonSettings } from "./settings.ts";
