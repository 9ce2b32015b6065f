import type { ConfigStore } from "@toucantrestle/config_store";
import type { Principal, Role } from "@toucantrestle/http";
import { hashKey } from "@toucantrestle/sibling";
import type { Timer } from "@toucantrestle/timer";
import { UnavailableError, type Verdict } from "@toucantrestle/verdict";
import { randomBytes } from "node:crypto";
import { KEYS_PREFIX } from "./keyspace.ts";
import type { KeyRecord, StoreView } from "./store_view.ts";

/** A key as shown to operators, without its secret. */
export interface KeySummary extends KeyRecord {
  /** Prefix of the hash that identifies the key. */
  id: string;
}

const KEY_BYTES = 24;
const ID_LENGTH = 12;
const RETRY_AFTER_MS = 2_000;
const BOOTSTRAP_PRINCIPAL: Principal = { name: "bootstrap", role: "operator" };

/** Keys of callers, operators and siblings, stored as hashes. */
export class Keyring {
  readonly #store: ConfigStore;
  readonly #view: StoreView;
  readonly #timer: Timer;
  readonly #bootstrapHash: string | undefined;

  constructor(
    opts: {
      store: ConfigStore;
      view: StoreView;
      timer: Timer;
      bootstrapKey: string | undefined;
    },
  ) {
    this.#store = opts.store;
    this.#view = opts.view;
    this.#timer = opts.timer;
    this.#bootstrapHash = opts.bootstrapKey === undefined
      ? undefined
      : hashKey(opts.bootstrapKey);
  }

  /** Returns the principal that a key belongs to, or undefined. */
  authenticate(key: string): Principal | undefined {
    const hash = hashKey(key);
    if (hash === this.#bootstrapHash) return BOOTSTRAP_PRINCIPAL;
    const record = this.#view.keys.get(hash);
    return record && { name: record.name, role: record.role };
  }

  /** Whether a key hash belongs to a sibling. */
  isSibling(hash: string): boolean {
    return this.#view.keys.get(hash)?.role === "sibling";
  }

  /** Lists all keys without their secrets. */
  list(): KeySummary[] {
    return [...this.#view.keys].map(([hash, record]) => ({
      ...record,
      id: hash.slice(0, ID_LENGTH),
    }));
  }

  /** Creates a key and returns its secret, which is not stored. */
  async create(name: string, role: Role): Promise<string> {
    const secret = randomBytes(KEY_BYTES).toString("base64url");
    const record: KeyRecord = { name, role, createdAt: this.#timer.now() };
    const key = KEYS_PREFIX + hashKey(secret);
    await this.#write({ puts: [{ key, value: JSON.stringify(record) }] });
    return secret;
  }

  /**
   * Revokes the keys whose hash starts with `id`, which must have at least
   * `ID_LENGTH` characters.
   *
   * @returns the number of revoked keys
   */
  async revoke(id: string): Promise<number> {
    const hashes = [...this.#view.keys.keys()]
      .filter((hash) => id.length >= ID_LENGTH && hash.startsWith(id));
    const deletes = hashes.map((hash) => ({
      from: KEYS_PREFIX + hash,
      to: `${KEYS_PREFIX}${hash}\0`,
    }));
    if (deletes.length > 0) await this.#write({ deletes });
    return hashes.length;
  }

  async #write(
    txn: {
      puts?: { key: string; value: string }[];
      deletes?: { from: string; to: string }[];
    },
  ): Promise<void> {
    try {
      await this.#store.txn({ compares: [], puts: [], deletes: [], ...txn });
    } catch {
      const verdict: Verdict = "may_have_run";
      throw new UnavailableError(
        "the key-value service did not confirm the change of keys",
        {
          props: { verdict, retryAfterMs: RETRY_AFTER_MS },
        },
      );
    }
  }
}
