/**
 * Overlay network of a fleet. Each host keeps links to a bounded number of
 * neighbours, knows from their reports which hosts are connected, and
 * broadcasts news over the links. Pure logic without I/O.
 *
 * @module
 */
export { chooseNeighbours, type NeighbourOptions } from "./neighbours.ts";
export { type OverlayHost, Rings } from "./rings.ts";
export { Gossip, type GossipMessage, type GossipOptions } from "./gossip.ts";
export { type Report, ReportTable } from "./report_table.ts";
