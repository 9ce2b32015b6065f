/** Thrown when synced data on the disk is missing or corrupt. */
export class DamagedDiskError extends Error {
  override name = "DamagedDiskError";
}

/** Thrown when a persisted frame is missing or corrupt. */
export class DamagedFrameError extends DamagedDiskError {
  override name = "DamagedFrameError";
}

/** Returns whether an error says that a file does not exist. */
export function isNotFound(err: unknown): boolean {
  return (err as NodeJS.ErrnoException | undefined)?.code === "ENOENT";
}
