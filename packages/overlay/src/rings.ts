import { hash32 } from "@toucantrestle/membership";

/** A host as far as its place in the overlay depends on it. */
export interface OverlayHost {
  host: string;
  dataCentre: string;
}

/** Rings over all hosts; they connect the data centres. */
const GLOBAL_RINGS = 2;
/** Rings over the hosts of one data centre, where bytes are cheaper. */
const LOCAL_RINGS = 2;

/**
 * Orders of the same hosts, each a ring. Every order comes from hashes of the
 * host names, so that all hosts with the same list have the same rings. The
 * union of several random rings is an expander with a small diameter.
 */
export class Rings {
  readonly #rings: string[][];

  constructor(self: OverlayHost, hosts: OverlayHost[]) {
    const all = hosts.map((it) => it.host);
    const local = hosts
      .filter((it) => it.dataCentre === self.dataCentre)
      .map((it) => it.host);
    this.#rings = [
      ...createRings("global", { names: all, count: GLOBAL_RINGS }),
      ...createRings(`local/${self.dataCentre}`, {
        names: local,
        count: LOCAL_RINGS,
      }),
    ];
  }

  /** Returns, for each ring and direction, the hosts that follow `host`. */
  walksFrom(host: string): string[][] {
    return this.#rings.flatMap((ring) => {
      const at = ring.indexOf(host);
      if (at < 0) return [];
      const following = [...ring.slice(at + 1), ...ring.slice(0, at)];
      return [following, following.toReversed()];
    });
  }
}

function createRings(
  key: string,
  { names, count }: { names: string[]; count: number },
): string[][] {
  return Array.from(
    { length: count },
    (_, i) => orderByHash(`${key}/${i}`, names),
  );
}

function orderByHash(key: string, names: string[]): string[] {
  const hashed = names.map((name) => ({
    name,
    hash: hash32(`${key}/${name}`),
  }));
  hashed.sort((a, b) => a.hash - b.hash || (a.name < b.name ? -1 : 1));
  return hashed.map((it) => it.name);
}
