/**
 * Records of finished turns and of spent tokens: the state of one replica,
 * numbered views of the replicas, and what a set of replies proves. No I/O.
 *
 * @module
 */
export {
  type BudgetVerdict,
  decideBudget,
  decideLookup,
  type LookupVerdict,
  meetsAllQuorums,
  mergeSpending,
  type Witness,
} from "./quorum.ts";
export {
  type Inventory,
  Replica,
  type ReplicaOptions,
  type ReserveReply,
  type UnreadRecord,
} from "./replica.ts";
export {
  keyOfProgram,
  keyOfRecord,
  keyOfTurn,
  type PromptHint,
  type Spending,
  type SpendRecord,
  type TurnLogRecord,
  type TurnRecord,
} from "./record.ts";
export { decideView, type HostState, type ViewInput } from "./next_view.ts";
export { quorumOf, type ReplicaHost, replicasOf, type View } from "./view.ts";
