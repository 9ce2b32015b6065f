import xxhash from "xxhash-wasm";

const hasher = await xxhash();
const VIRTUAL_NODES_PER_MEMBER = 32;

interface VirtualNode {
  hash: number;
  name: string;
}

/**
 * Consistent hash ring. Selects a few members for a key in logarithmic time.
 * All daemons thus consider the same few upstreams for a program. See Karger et
 * al., "Consistent hashing and random trees", 1997.
 */
export class HashRing {
  readonly #nodes: VirtualNode[] = [];
  readonly #memberCount: number;

  constructor(names: Iterable<string>) {
    let memberCount = 0;
    for (const name of names) {
      memberCount += 1;
      for (let i = 0; i < VIRTUAL_NODES_PER_MEMBER; i++) {
        this.#nodes.push({ hash: hasher.h32(`${name}#${i}`), name });
      }
    }
    this.#memberCount = memberCount;
    this.#nodes.sort((a, b) => a.hash - b.hash);
  }

  /** Returns the first `count` distinct members at or after the key's position. */
  pick(key: string, count: number): string[] {
    const pickCount = Math.min(count, this.#memberCount);
    const picked: string[] = [];
    let index = this.#indexOfHash(hasher.h32(key));
    while (picked.length < pickCount) {
      const node = this.#nodes[index % this.#nodes.length] as VirtualNode;
      if (!picked.includes(node.name)) picked.push(node.name);
      index += 1;
    }
    return picked;
  }

  #indexOfHash(hash: number): number {
    let low = 0;
    let high = this.#nodes.length;
    while (low < high) {
      const middle = (low + high) >>> 1;
      if ((this.#nodes[middle] as VirtualNode).hash < hash) low = middle + 1;
      else high = middle;
    }
    return low;
  }
}
