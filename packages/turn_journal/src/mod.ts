/**
 * Append-only journal on a disk: checksummed frames, group commit, expiry by
 * whole segment; and a small state file that is replaced atomically.
 *
 * @module
 */
export {
  decodeFrames,
  encodeFrame,
  type Frame,
  type FrameLabel,
} from "./frame.ts";
export {
  Journal,
  JournalFullError,
  type JournalOptions,
  syncFolder,
} from "./journal.ts";
export { DamagedFrameError } from "./read_file.ts";
export { readState, writeState } from "./state_file.ts";
