/**
 * Program ledger: step order, budget, history, and the journal records from
 * which it is rebuilt. Performs no I/O.
 *
 * @module
 */
export {
  type ChatMessage,
  isSameMessage,
  maxMessageTokens,
  type Usage,
} from "./message.ts";
export type * from "./record.ts";
export {
  availableTokens,
  type ChildReservation,
  type FinishedStep,
  type Ledger,
  nextStep,
  type PendingCall,
  reservedTokens,
} from "./ledger.ts";
export { applyRecord, completesStep, type Ledgers } from "./apply_record.ts";
export {
  type Admission,
  admitCall,
  type CallRequest,
  extractNewMessages,
  worstCaseTokens,
} from "./admission.ts";
export { decodeChunk, decodeEntry, encodeChunk, encodeEntry } from "./codec.ts";
