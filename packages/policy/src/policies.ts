import type { RouterName } from "./routers.ts";
import type { OrderName } from "./wait_queue.ts";

/** Names of the policies that can be run and compared. */
export type PolicyName =
  | "toucantrestle"
  | "round_robin"
  | "least_loaded"
  | "sticky"
  | "fcfs";

/** A policy as a choice of handlers. */
export interface PolicyDef {
  order: OrderName;
  router: RouterName;
  /** Whether work waits here until an upstream has a free place. */
  holds: boolean;
}

/** The policies. */
export const POLICIES: Record<PolicyName, PolicyDef> = {
  toucantrestle: { order: "fair", router: "expected_finish", holds: true },
  round_robin: { order: "fifo", router: "round_robin", holds: false },
  least_loaded: { order: "fifo", router: "least_loaded", holds: false },
  sticky: { order: "fifo", router: "sticky", holds: false },
  fcfs: { order: "fifo", router: "least_loaded", holds: true },
};
