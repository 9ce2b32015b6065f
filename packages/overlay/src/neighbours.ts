import type { Rings } from "./rings.ts";

/** Options of `chooseNeighbours`. */
export interface NeighbourOptions {
  self: string;
  /** Names of all hosts; `self` may be among them. */
  hosts: string[];
  rings: Rings;
  /** Whether a neighbour does not answer. */
  isSilent: (host: string) => boolean;
}

/** In a fleet of up to this many hosts all are neighbours of each other. */
const MAX_COMPLETE_FLEET = 13;
/** Hosts after a silent one that a ring is mended with, in each direction. */
const MAX_REPLACEMENTS = 3;

/**
 * Returns the names of the hosts to keep links to: the next host in each ring
 * and direction, and behind silent ones the hosts that follow them. Two hosts
 * with the same list and the same silent hosts choose each other.
 */
export function chooseNeighbours(
  { self, hosts, rings, isSilent }: NeighbourOptions,
): Set<string> {
  if (hosts.length <= MAX_COMPLETE_FLEET) {
    return new Set(hosts.filter((it) => it !== self));
  }
  const neighbours = new Set<string>();
  for (const walk of rings.walksFrom(self)) {
    for (const host of walk.slice(0, 1 + MAX_REPLACEMENTS)) {
      neighbours.add(host);
      if (!isSilent(host)) break;
    }
  }
  return neighbours;
}
