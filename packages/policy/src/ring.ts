import xxhash from "xxhash-wasm";

const hasher = await xxhash();
const POINTS_PER_MEMBER = 32;

interface Point {
  hash: number;
  name: string;
}

/**
 * Consistent hash ring: finds a few members for a key in logarithmic time, so
 * that all daemons look at the same few upstreams for a program. Karger et
 * al., "Consistent hashing and random trees", 1997.
 */
export class Ring {
  readonly #points: Point[] = [];
  readonly #members: number;

  constructor(names: Iterable<string>) {
    let members = 0;
    for (const name of names) {
      members += 1;
      for (let i = 0; i < POINTS_PER_MEMBER; i++) {
        this.#points.push({ hash: hasher.h32(`${name}#${i}`), name });
      }
    }
    this.#members = members;
    this.#points.sort((a, b) => a.hash - b.hash);
  }

  /** The first `count` distinct members after the key's place. */
  pick(key: string, count: number): string[] {
    const wanted = Math.min(count, this.#members);
    const picked: string[] = [];
    let index = this.#place(hasher.h32(key));
    while (picked.length < wanted) {
      const point = this.#points[index % this.#points.length] as Point;
      if (!picked.includes(point.name)) picked.push(point.name);
      index += 1;
    }
    return picked;
  }

  #place(hash: number): number {
    let low = 0;
    let high = this.#points.length;
    while (low < high) {
      const middle = (low + high) >>> 1;
      if ((this.#points[middle] as Point).hash < hash) low = middle + 1;
      else high = middle;
    }
    return low;
  }
}
