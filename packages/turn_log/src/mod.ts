/**
 * Replicated records of finished turns and of token spending: the in-memory
 * state of one replica, numbered views of the replica set, and quorum decisions
 * on the replies of replicas. Performs no I/O.
 *
 * @module
 */
export {
  type BudgetVerdict,
  decideBudget,
  decideLookup,
  intersectsAllQuorums,
  type LookupVerdict,
  mergeSpending,
  type Responder,
} from "./quorum.ts";
export {
  type DeferredRecord,
  type Inventory,
  Replica,
  type ReplicaOptions,
  type ReserveReply,
} from "./replica.ts";
export {
  commonOrigin,
  keyOfProgram,
  keyOfRecord,
  keyOfTurn,
  laterOrigin,
  type PromptHint,
  retainedUntil,
  scopedId,
  type Spending,
  type SpendRecord,
  type StreamOrigin,
  type TurnLogRecord,
  type TurnRecord,
} from "./record.ts";
export {
  decideFirstView,
  type FirstViewHost,
  type FirstViewInput,
} from "./first_view.ts";
export { decideNextView, type HostState, type ViewInput } from "./next_view.ts";
export { quorumSize, type ReplicaHost, replicasOf, type View } from "./view.ts";
