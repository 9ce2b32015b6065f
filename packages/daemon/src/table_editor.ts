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
import { editKey, EDITS, TABLE } from "./keyspace.ts";
import type { KnownTable, StoreView } from "./store_view.ts";

const MAX_ATTEMPTS = 40;
const RETRY_MS = 100;
const RETRY_AFTER_MS = 2_000;
const HISTORY_LIMIT = 200;

/** Writes accepted edits of the table to the platform's service. */
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
   * Applies an edit to the newest table. An edit whose write got no answer is
   * settled by its write id before anything is said.
   *
   * @throws {RequestError} when it is refused, or its result is unknown
   */
  async apply(edit: Edit): Promise<Table> {
    let known = this.#view.knownTable;
    let verdict: Verdict = "not_run";
    for (let attempt = 0; attempt < MAX_ATTEMPTS; attempt++) {
      try {
        if (verdict !== "not_run" || attempt > 0) known = await this.#read();
        const written = await this.#tryWrite(known, edit);
        if (written) return this.#accept(written);
      } catch (err) {
        if (!(err instanceof StoreError)) throw err;
        if (err.verdict !== "not_run") verdict = "may_have_run";
      }
      await sleep(this.#timer, RETRY_MS);
    }
    throw new UnavailableError(
      "the key-value service does not take the edit now",
      { props: { verdict, retryAfterMs: RETRY_AFTER_MS } },
    );
  }

  /** Accepted edits, newest first. */
  async history(): Promise<EditRecord[]> {
    try {
      const above = Math.max(0, this.#view.table.revision - HISTORY_LIMIT);
      const listing = await this.#store.list(EDITS, editKey(above));
      return listing.items
        .map((item) => JSON.parse(item.value) as EditRecord)
        .reverse();
    } catch {
      throw new UnavailableError("the history cannot be read now", {
        props: { retryAfterMs: RETRY_AFTER_MS },
      });
    }
  }

  /** Writes the edit, or returns undefined when the table has moved on. */
  async #tryWrite(
    known: KnownTable,
    edit: Edit,
  ): Promise<KnownTable | undefined> {
    if (findRecentWrite(known.table, edit.writeId)) return known;
    const table = applyEdit(known.table, edit);
    const record: EditRecord = {
      ...edit,
      revision: table.revision,
      at: this.#timer.now(),
    };
    const result = await this.#store.txn({
      compares: [{ key: TABLE, modRevision: known.modRevision }],
      puts: [
        { key: TABLE, value: JSON.stringify(table) },
        { key: editKey(table.revision), value: JSON.stringify(record) },
      ],
      deletes: [],
    });
    if (result.succeeded) return { table, modRevision: result.revision };
    return undefined;
  }

  async #read(): Promise<KnownTable> {
    const stored = await this.#store.get(TABLE);
    const known = parseTable(stored);
    if (known.table.revision < this.#view.table.revision) {
      throw new ConflictError("the key-value service shows an older table");
    }
    return known;
  }

  #accept({ table, modRevision }: KnownTable): Table {
    this.#view.takeTable(table, modRevision);
    return table;
  }
}

function parseTable(stored: StoreItem | undefined): KnownTable {
  if (!stored) return { table: EMPTY_TABLE, modRevision: 0 };
  const table = JSON.parse(stored.value) as Table;
  return { table, modRevision: stored.modRevision };
}
