import { keyDigest } from "./key_digest.ts";

/** Names are sent in headers, whose total size upstreams limit. */
const MAX_NAME_BYTES = 1_024;

/** Limit on the requests of an organisation over all fronts. */
export interface Quota {
  /** Requests per second. */
  ratePerS: number;
  /** Requests beyond the rate that may be sent at once. */
  burst: number;
}

/** Organisation on whose behalf a request is sent. */
export interface Organisation {
  name: string;
  /** Priority rank, 0 is the most urgent; undefined to use the route's. */
  rank: number | undefined;
  /** Undefined if the requests are not limited. */
  quota: Quota | undefined;
}

/** Organisation as configured. */
export interface OrganisationEntry {
  name: string;
  /** API keys, each of which identifies the organisation. */
  keys: readonly string[];
  rank?: number | undefined;
  /** Requests per second; missing or 0 means no limit. */
  ratePerS?: number | undefined;
  /** Requests beyond the rate; missing means none. */
  burst?: number | undefined;
}

/** Thrown for a contradictory list of organisations; names no keys. */
export class InvalidOrganisationsError extends Error {
  override name = "InvalidOrganisationsError";
}

/**
 * Finds organisations by API key; the time of a lookup does not grow with their
 * number. Keys are looked up by their digests, so the time tells nothing about
 * the configured keys.
 */
export class OrganisationIndex {
  readonly #byDigest = new Map<string, Organisation>();
  readonly #byName = new Map<string, Organisation>();

  /** Throws an {@link InvalidOrganisationsError} if an entry is invalid. */
  constructor(entries: readonly OrganisationEntry[]) {
    for (const entry of entries) this.#add(entry);
  }

  /** Number of organisations. */
  get size(): number {
    return this.#byName.size;
  }

  /** Returns the organisation that holds a key. */
  findByKey(key: string): Organisation | undefined {
    return this.#byDigest.get(keyDigest(key));
  }

  /** Returns the organisation with a name. */
  findByName(name: string): Organisation | undefined {
    return this.#byName.get(name);
  }

  /** Returns all organisations. */
  all(): IterableIterator<Organisation> {
    return this.#byName.values();
  }

  #add(entry: OrganisationEntry): void {
    const { name } = entry;
    requireValidName(name);
    if (this.#byName.has(name)) {
      fail(`organisation ${quote(name)} occurs twice`);
    }
    const organisation: Organisation = {
      name,
      rank: entry.rank,
      quota: toQuota(entry),
    };
    this.#byName.set(name, organisation);
    for (const key of entry.keys) this.#addKey(key, organisation);
  }

  #addKey(key: string, organisation: Organisation): void {
    if (key.trim() === "") {
      fail(`organisation ${quote(organisation.name)} has an empty key`);
    }
    const digest = keyDigest(key);
    const holder = this.#byDigest.get(digest);
    if (holder && holder !== organisation) {
      const names = `${quote(holder.name)} and ${quote(organisation.name)}`;
      fail(`organisations ${names} have a key in common`);
    }
    this.#byDigest.set(digest, organisation);
  }
}

/** Rejects names that cannot be sent in a header or stored with a record. */
function requireValidName(name: string): void {
  if (name.trim() === "") fail("an organisation has an empty name");
  if (Buffer.byteLength(name) > MAX_NAME_BYTES) {
    fail(`the name of an organisation is longer than ${MAX_NAME_BYTES} bytes`);
  }
  if (/[\p{Cc}\p{Cs}]/u.test(name)) {
    fail("the name of an organisation contains an unprintable character");
  }
}

function toQuota(entry: OrganisationEntry): Quota | undefined {
  const { name, ratePerS = 0, burst = 0 } = entry;
  for (const [field, value] of Object.entries({ ratePerS, burst })) {
    if (!Number.isFinite(value) || value < 0) {
      fail(`organisation ${quote(name)} has an invalid ${field}`);
    }
  }
  return ratePerS > 0 ? { ratePerS, burst } : undefined;
}

function quote(name: string): string {
  return JSON.stringify(name);
}

function fail(reason: string): never {
  throw new InvalidOrganisationsError(reason);
}
