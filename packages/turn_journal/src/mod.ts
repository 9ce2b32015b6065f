/**
 * Append-only on-disk journal with checksummed frames, group commit and expiry
 * of entire segments, plus a small state file that is replaced atomically.
 *
 * @module
 */
export {
  decodeFrames,
  encodeFrame,
  type Frame,
  type FrameMetadata,
} from "./frame.ts";
export {
  Journal,
  JournalFullError,
  type JournalOptions,
  syncFolder,
} from "./journal.ts";
export { DamagedFrameError } from "./read_file.ts";
export { readState, writeState } from "./state_file.ts";
