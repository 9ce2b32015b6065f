/**
 * Append-only on-disk journal with checksummed frames, group commit and expiry
 * of entire segments, plus a small state file that is replaced atomically.
 *
 * @module
 */
export { createFolder, listFolder, syncFolder } from "./data_folder.ts";
export type { FolderContent } from "./data_folder.ts";
export { DamagedDiskError, DamagedFrameError, isNotFound } from "./errors.ts";
export {
  type DecodedFrames,
  decodeFrames,
  encodeFrame,
  type Frame,
  type FrameMetadata,
} from "./frame.ts";
export { Journal, JournalFullError, type JournalOptions } from "./journal.ts";
export {
  deleteSetAside,
  hasSetAside,
  SET_ASIDE_FOLDER,
  setAside,
  type SetAsideOptions,
} from "./set_aside.ts";
export { readState, writeState } from "./state_file.ts";
