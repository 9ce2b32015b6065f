import {
  type ConfigStore,
  StoreError,
  type StoreItem,
} from "@toucantrestle/config_store";
import {
  applyEdit,
  type Edit,
  type EditRecord,
  EMPTY_TABLE,
  findRecentWrite,
  type Table,
} from "@toucantrestle/table";
import { sleep, type Timer } from "@toucantrestle/timer";
import {
  ConflictError,
  UnavailableError,
  type Verdict,
} from "@toucantrestle/verdict";
import { editKey, EDITS_PREFIX, TABLE_KEY } from "./keyspace.ts";
import type { StoreView, VersionedTable } from "./store_view.ts";

const MAX_ATTEMPTS = 40;
const RETRY_MS = 100;
const RETRY_AFTER_MS = 2_000;
const HISTORY_LIMIT = 200;

/** Writes accepted edits of the table to the key-value service. */
export class TableEditor {
  readonly #store: ConfigStore;
  readonly #view: StoreView;
  readonly #timer: Timer;

  constructor(
    opts: { store: ConfigStore; view: StoreView; timer: Timer },
  ) {
    this.#store = opts.store;
    this.#view = opts.view;
    this.#timer = opts.timer;
  }

  /**
   * Applies an edit to the latest table. If the response to a write was lost,
   * the write id in the stored table shows whether the write succeeded.
   *
   * @throws {RequestError} if the edit is refused or its result is unknown
   */
  async apply(edit: Edit): Promise<Table> {
    let current = this.#view.versionedTable;
    let verdict: Verdict = "not_run";
    for (let attempt = 0; attempt < MAX_ATTEMPTS; attempt++) {
      try {
        if (verdict !== "not_run" || attempt > 0) current = await this.#read();
        const written = await this.#tryWrite(current, edit);
        if (written) return this.#accept(written);
      } catch (err) {
        if (!(err instanceof StoreError)) throw err;
        if (err.verdict !== "not_run") verdict = "may_have_run";
      }
      await sleep(this.#timer, RETRY_MS);
    }
    throw new UnavailableError(
      `the key-value service did not confirm the edit in ${MAX_ATTEMPTS} attempts`,
      { props: { verdict, retryAfterMs: RETRY_AFTER_MS } },
    );
  }

  /** Accepted edits, newest first. */
  async history(): Promise<EditRecord[]> {
    try {
      const above = Math.max(0, this.#view.table.revision - HISTORY_LIMIT);
      const listing = await this.#store.list(EDITS_PREFIX, editKey(above));
      return listing.items
        .map((item) => JSON.parse(item.value) as EditRecord)
        .reverse();
    } catch {
      throw new UnavailableError(
        "the edit history could not be read from the key-value service",
        {
          props: { retryAfterMs: RETRY_AFTER_MS },
        },
      );
    }
  }

  /** Writes the edit, or returns undefined if the table was changed meanwhile. */
  async #tryWrite(
    current: VersionedTable,
    edit: Edit,
  ): Promise<VersionedTable | undefined> {
    if (findRecentWrite(current.table, edit.writeId)) return current;
    const table = applyEdit(current.table, edit);
    const record: EditRecord = {
      ...edit,
      revision: table.revision,
      at: this.#timer.now(),
    };
    const result = await this.#store.txn({
      compares: [{ key: TABLE_KEY, modRevision: current.modRevision }],
      puts: [
        { key: TABLE_KEY, value: JSON.stringify(table) },
        { key: editKey(table.revision), value: JSON.stringify(record) },
      ],
      deletes: [],
    });
    if (result.succeeded) return { table, modRevision: result.revision };
    return undefined;
  }

  async #read(): Promise<VersionedTable> {
    const stored = await this.#store.get(TABLE_KEY);
    const current = parseTable(stored);
    if (current.table.revision < this.#view.table.revision) {
      throw new ConflictError(
        `the key-value service returned table revision ${current.table.revision}, older than revision ${this.#view.table.revision} in force`,
      );
    }
    return current;
  }

  #accept({ table, modRevision }: VersionedTable): Table {
    this.#view.applyTable(table, modRevision);
    return table;
  }
}

function parseTable(stored: StoreItem | undefined): VersionedTable {
  if (!stored) return { table: EMPTY_TABLE, modRevision: 0 };
  const table = JSON.parse(stored.value) as Table;
  return { table, modRevision: stored.modRevision };
}
