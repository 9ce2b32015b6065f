import { parseView } from "@toucantrestle/fleet";
import { awaitDependency, type AwaitOptions } from "@toucantrestle/lifecycle";
import type { Logger } from "@toucantrestle/log";
import {
  createFolder,
  DamagedDiskError,
  deleteSetAside,
  type Frame,
  hasSetAside,
  isNotFound,
  Journal,
  listFolder,
  readState,
  setAside,
  writeState,
} from "@toucantrestle/turn_journal";
import {
  keyOfRecord,
  retainedUntil,
  type TurnLogRecord,
  type View,
} from "@toucantrestle/turn_log";
import { randomUUID } from "node:crypto";
import { join } from "node:path";
import { ReadFailures } from "./read_failures.ts";

/** Options of `openStoreDisk`. */
export interface StoreDiskOptions extends AwaitOptions {
  /** Folder that holds the journal and the state file. */
  folder: string;
  /** Size limit of the journal, in bytes. */
  maxBytes: number;
  /** Size beyond which a segment of the journal is closed, in bytes. */
  segmentBytes?: number;
  /** Size limit of damaged files that are kept, in bytes. */
  maxSetAsideBytes: number;
  /** What was found damaged while the disk was in use. */
  damage?: DamagedDiskError | undefined;
}

/** State that is persisted in the state file, beside the journal. */
export interface StoreState {
  id: string;
  view?: View | undefined;
  base?: View | undefined;
  isComplete?: boolean;
}

type StoreJournal = Journal<TurnLogRecord>;

/** Time for which a data folder that cannot be used is awaited, in ms. */
const DISK_TIMEOUT_MS = 60_000;
const DISK_RETRY_MS = 250;

/**
 * Opens the disk of a turn store; creates its folder, and waits for one that
 * cannot be used. A disk of which something is damaged that was synced is set
 * aside: the store goes on with an empty one and a new id, so that the records
 * are copied from other stores.
 *
 * @throws {ExitError} with reason `disk_unavailable` if it stays unusable
 * @throws {StoppedWaitingError} if the process stops meanwhile
 */
export function openStoreDisk(opts: StoreDiskOptions): Promise<StoreDisk> {
  let { damage } = opts;
  let isReplacement = damage !== undefined;
  const attempt = async () => {
    await createFolder(opts.folder);
    if (damage) await setDamagedAside(damage, opts);
    damage = undefined;
    try {
      isReplacement ||= await hasSetAside(opts.folder);
      return await load(opts, isReplacement);
    } catch (err) {
      if (isDiskFull(err)) await makeRoom(opts);
      if (!(err instanceof DamagedDiskError)) throw err;
      isReplacement = true;
      await setDamagedAside(err, opts);
      return await load(opts, isReplacement);
    }
  };
  return awaitDependency({
    name: `data folder ${opts.folder}`,
    attempt,
    timeoutMs: DISK_TIMEOUT_MS,
    retryMs: DISK_RETRY_MS,
    reason: "disk_unavailable",
  }, opts);
}

/** Open disk of a turn store: its state, its journal and what they hold. */
export class StoreDisk {
  /** State that was found. */
  readonly state: StoreState;
  /** Whether an earlier disk of this host was lost or set aside. */
  readonly isReplacement: boolean;
  readonly journal: StoreJournal;
  readonly #folder: string;
  readonly #log: Logger;
  readonly #failures: ReadFailures;
  #frames: Frame<TurnLogRecord>[];
  #saving: Promise<void> = Promise.resolve();

  constructor(
    { folder, log }: Pick<StoreDiskOptions, "folder" | "log">,
    content: {
      state: StoreState;
      isReplacement: boolean;
      journal: StoreJournal;
      frames: Frame<TurnLogRecord>[];
      failures: ReadFailures;
    },
  ) {
    this.#folder = folder;
    this.#log = log;
    this.state = content.state;
    this.isReplacement = content.isReplacement;
    this.journal = content.journal;
    this.#frames = content.frames;
    this.#failures = content.failures;
  }

  /** Identity of the disk contents. */
  get id(): string {
    return this.state.id;
  }

  /** Calls `fn` once if something turns out to be damaged from now on. */
  onDamage(fn: (damage: DamagedDiskError) => void): void {
    this.#failures.onDamage(fn);
  }

  /** Returns the records that were found, which are handed out once. */
  takeFrames(): Frame<TurnLogRecord>[] {
    const frames = this.#frames;
    this.#frames = [];
    return frames;
  }

  /** Replaces the state file. A failure is only logged. */
  saveState(state: StoreState): Promise<void> {
    this.#saving = this.#saving
      .then(() => writeState(this.#folder, state))
      .catch((err) => {
        this.#log.error(`cannot write the state file: ${String(err)}`);
        // The folder is gone, with all that was synced.
        if (isNotFound(err)) this.#failures.record(err);
      });
    return this.#saving;
  }

  /** Notices that the folder is gone, although nothing is written there. */
  async check(): Promise<void> {
    try {
      if (await readState(this.#folder)) return;
      this.#failures.record(new DamagedDiskError("the state file is gone"));
    } catch (err) {
      this.#failures.record(err);
    }
  }

  /** Finishes what is being written. Later writes are rejected. */
  async close(): Promise<void> {
    await Promise.all([this.journal.close(), this.#saving]);
  }

  /** Closes the disk and writes down all that was synced. */
  async stop(): Promise<void> {
    await this.close();
    await this.journal.saveManifest();
  }
}

/** @throws {DamagedDiskError} if something is missing that was synced */
async function load(
  opts: StoreDiskOptions,
  isReplacement: boolean,
): Promise<StoreDisk> {
  const { folder, maxBytes, segmentBytes, timer, log } = opts;
  await checkEntries(folder);
  const state = await readOrCreateState(folder);
  const failures = new ReadFailures(timer);
  const journal: StoreJournal = new Journal({
    folder,
    maxBytes,
    ...(segmentBytes && { segmentBytes }),
    metadataOf: (it) => ({
      key: keyOfRecord(it),
      expiresAt: retainedUntil(it),
    }),
    onUnreadable: (err) => failures.record(err),
    log,
  });
  const frames: Frame<TurnLogRecord>[] = [];
  try {
    await journal.load((it) => frames.push(it), timer.now());
  } catch (err) {
    await journal.close().catch((closeErr) =>
      log.warn(`cannot close the journal: ${String(closeErr)}`)
    );
    throw err;
  }
  const content = { state, isReplacement, journal, frames, failures };
  return new StoreDisk(opts, content);
}

/** Returns the state on the disk; an empty disk gets one with a new id. */
async function readOrCreateState(folder: string): Promise<StoreState> {
  const saved = await readState<StoreState>(folder);
  if (saved) return checkState(saved);
  const { hasRecords } = await listFolder(folder);
  if (hasRecords) {
    throw new DamagedDiskError("there are records, but the state is missing");
  }
  const state = { id: randomUUID() };
  await writeState(folder, state);
  return state;
}

/** @throws {DamagedDiskError} if a field does not have its type */
function checkState(state: StoreState): StoreState {
  const { id, view, base, isComplete } = state;
  const isValid = typeof id === "string" && id !== "" &&
    [view, base].every(isViewOrAbsent) &&
    ["boolean", "undefined"].includes(typeof isComplete);
  if (!isValid) throw new DamagedDiskError("the state has an invalid field");
  return state;
}

function isViewOrAbsent(view: View | undefined): boolean {
  return view === undefined || parseView(JSON.stringify(view)) !== undefined;
}

async function setDamagedAside(
  damage: DamagedDiskError,
  { folder, maxSetAsideBytes, log }: StoreDiskOptions,
): Promise<void> {
  log.error(`the disk is damaged: ${damage.message}`, {
    event: "disk_damaged",
  });
  await setAside(folder, { maxBytes: maxSetAsideBytes, log });
}

function isDiskFull(err: unknown): boolean {
  const { code } = err as NodeJS.ErrnoException;
  return code === "ENOSPC" || code === "EDQUOT";
}

/** Deletes what was set aside, so that the next attempt may succeed. */
async function makeRoom({ folder, log }: StoreDiskOptions): Promise<void> {
  if (await deleteSetAside(folder)) {
    log.warn("the disk is full: deleted what had been set aside", {
      event: "disk_set_aside_deleted",
    });
  }
}

/**
 * Finds what cannot be read or replaced as a file, or would not even return from
 * being opened.
 *
 * @throws {DamagedDiskError} if something else has the name of a file
 */
async function checkEntries(folder: string): Promise<void> {
  const { obstacles: [name] } = await listFolder(folder);
  if (name !== undefined) {
    throw new DamagedDiskError(`${join(folder, name)} is not a file`);
  }
}
