import { rankByRendezvous } from "@toucantrestle/membership";

/** Front that callers may connect to. */
export interface FrontCandidate {
  /** Address for callers. */
  address: string;
  /** Load that its host can carry, in cores; undefined if it is not known. */
  capacity: number | undefined;
}

/** Fleets of up to this size are listed in full: each front is needed. */
const MAX_LISTED_IN_FULL = 13;
const MAX_ADDRESSES = 64;
/**
 * Fraction of the fleet's capacity that callers are directed to. The rest takes
 * over when listed fronts fail; fewer busy fronts need fewer connections to the
 * upstreams.
 */
const LISTED_CAPACITY_FRACTION = 0.6;

/**
 * Selects the fronts of a directory response. In a larger fleet these are the
 * ones with the highest capacity. Each is included with a probability that is
 * proportional to its capacity, so that callers, who choose among the listed
 * ones at random, load all hosts equally. `draw` returns random numbers in
 * [0, 1).
 */
export function selectFronts(
  fronts: FrontCandidate[],
  draw: () => number,
): string[] {
  if (fronts.length <= MAX_LISTED_IN_FULL) return fronts.map(addressOf);
  const listed = selectLargest(fronts);
  const maxCapacity = Math.max(...listed.map(capacityOf));
  return listed
    .filter((it) => draw() < capacityOf(it) / maxCapacity)
    .map(addressOf);
}

/** Returns the same fronts on every host; equal ones rank by hashing. */
function selectLargest(fronts: FrontCandidate[]): FrontCandidate[] {
  const byAddress = new Map(fronts.map((it) => [it.address, it]));
  const ranked = rankByRendezvous("directory", [...byAddress.keys()])
    .map((address) => byAddress.get(address) as FrontCandidate)
    .sort((a, b) => capacityOf(b) - capacityOf(a));
  const total = ranked.reduce((sum, it) => sum + capacityOf(it), 0);
  const listed: FrontCandidate[] = [];
  let capacity = 0;
  for (const it of ranked) {
    const isEnough = capacity >= LISTED_CAPACITY_FRACTION * total;
    if (isEnough && listed.length >= MAX_LISTED_IN_FULL) break;
    if (listed.length >= MAX_ADDRESSES) break;
    listed.push(it);
    capacity += capacityOf(it);
  }
  return listed;
}

/** Fronts that do not report their capacity count as hosts of one core. */
function capacityOf({ capacity }: FrontCandidate): number {
  return capacity !== undefined && capacity > 0 ? capacity : 1;
}

function addressOf({ address }: FrontCandidate): string {
  return address;
}
