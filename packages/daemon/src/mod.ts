/**
 * The scheduler daemon as a library.
 *
 * @module
 */
export { Daemon } from "./daemon.ts";
export type { DaemonContext } from "./daemon_context.ts";
export type { TlsFiles } from "./tls_files.ts";
export { DAEMON_SETTINGS, type DaemonSettings } from "./settings.ts";
