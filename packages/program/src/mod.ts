/**
 * Program ledger: order, budget, history, and the journal records that
 * rebuild it. No I/O.
 *
 * @module
 */
export {
  type ChatMessage,
  maxTokensOfMessage,
  sameMessage,
  type Usage,
} from "./message.ts";
export type * from "./record.ts";
export {
  availableTokens,
  type ChildShare,
  type FinishedStep,
  type Ledger,
  nextStep,
  type PendingCall,
  reservedTokens,
} from "./ledger.ts";
export { applyRecord, consumesStep, type Ledgers } from "./apply_record.ts";
export {
  type Admission,
  admitCall,
  type CallRequest,
  newMessages,
  worstCaseTokens,
} from "./admission.ts";
export { packChunk, packEntry, unpackChunk, unpackEntry } from "./codec.ts";
