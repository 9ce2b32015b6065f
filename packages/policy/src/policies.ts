import type { RouterName } from "./routers.ts";
import type { OrderName } from "./wait_queue.ts";

/** Names of the available scheduling policies. */
export type PolicyName =
  | "toucantrestle"
  | "round_robin"
  | "least_loaded"
  | "sticky"
  | "fcfs";

/** A scheduling policy: the queue order and the router that it uses. */
export interface PolicyDef {
  order: OrderName;
  router: RouterName;
  /** Whether calls stay queued until an upstream has a free slot. */
  canQueue: boolean;
}

/** Scheduling policies by name. */
export const POLICIES: Record<PolicyName, PolicyDef> = {
  toucantrestle: {
    order: "fair",
    router: "expected_finish",
    canQueue: true,
  },
  round_robin: { order: "fifo", router: "round_robin", canQueue: false },
  least_loaded: { order: "fifo", router: "least_loaded", canQueue: false },
  sticky: { order: "fifo", router: "sticky", canQueue: false },
  fcfs: { order: "fifo", router: "least_loaded", canQueue: true },
};
