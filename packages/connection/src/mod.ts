/**
 * Connections of HTTP servers: how they are read, and how they end while the
 * other side still sends.
 *
 * @module
 */
export { limitRequests } from "./limit_requests.ts";
export { lingerAtEnd } from "./lingering_end.ts";
export { stopReading } from "./pause.ts";
export { ReadShare, type ReadShareOptions } from "./read_share.ts";
export { ReadTurns } from "./read_turns.ts";
export { RequestsInRead } from "./requests_in_read.ts";
