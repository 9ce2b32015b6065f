import type { ReplicaHost, View } from "./view.ts";

/** A registered replica host, as another one observes it. */
export interface FirstViewHost {
  host: ReplicaHost;
  /** Whether it answers at the moment. */
  isReachable: boolean;
  /** Number of the view that it said last; undefined if it never answered. */
  viewNumber: number | undefined;
}

/** Input of the decision on the first view. */
export interface FirstViewInput {
  /** Id of the host that decides. */
  self: string;
  /** All registered hosts, the deciding one included. */
  hosts: FirstViewHost[];
  /** Time since the start of the process, in ms. */
  uptimeMs: number;
  /** Whether the entire deployment starts for the first time. */
  isFirstStart: boolean;
  /** Number of disks that may fail at the same time. */
  tolerate: number;
}

/** Delay of the first view, so that it includes hosts starting concurrently. */
const FIRST_VIEW_DELAY_MS = 1_200;
/** After this time hosts that would leave it to others propose the first view. */
const LATE_FIRST_VIEW_DELAY_MS = 3_000;

/**
 * Returns the first view that a host proposes, or undefined if it does not. It
 * is written only if there is none yet, so that several hosts may propose one.
 *
 * A host that has ended before the first view starts again as if the deployment
 * had run before. It proposes one only if all others know of none.
 */
export function decideFirstView(input: FirstViewInput): View | undefined {
  const { self, hosts, uptimeMs, isFirstStart, tolerate } = input;
  if (uptimeMs < FIRST_VIEW_DELAY_MS || hosts.length <= tolerate) {
    return undefined;
  }
  const isLate = uptimeMs >= LATE_FIRST_VIEW_DELAY_MS;
  const isAllowed = isFirstStart || (isLate && isNoViewKnown(hosts, self));
  if (!isAllowed || !(isLate || isLowestReachable(hosts, self))) {
    return undefined;
  }
  return {
    number: 1,
    tolerate,
    members: hosts.map((it) => it.host),
    former: [],
  };
}

function isNoViewKnown(hosts: FirstViewHost[], self: string): boolean {
  return hosts.every(({ host, isReachable, viewNumber }) =>
    host.id === self || (isReachable && viewNumber === 0)
  );
}

function isLowestReachable(hosts: FirstViewHost[], self: string): boolean {
  return hosts.every(({ host, isReachable }) =>
    !isReachable || host.id >= self
  );
}
