/**
 * Connections of HTTP servers: how they are read, and how they end while the
 * other side still sends.
 *
 * @module
 */
export { lingerAtEnd } from "./lingering_end.ts";
export { stopReading } from "./pause.ts";
export { ReadTurns } from "./read_turns.ts";
