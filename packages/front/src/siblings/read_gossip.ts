import type { GossipMessage, Report } from "@toucantrestle/overlay";
import type { FrontNews, FrontReport, FrontState } from "../protocol.ts";

/** Most neighbours that a front may report. */
const MAX_NEIGHBOURS = 256;
const STATES: readonly FrontState[] = ["starting", "ready", "stopping"];

/** Returns the message of a sibling; undefined if it is malformed. */
export function toGossipMessage(
  body: unknown,
): GossipMessage<FrontReport, FrontNews> | undefined {
  if (!isObject(body)) return undefined;
  const { reports, news } = body;
  if (!Array.isArray(reports) || !Array.isArray(news)) return undefined;
  if (!reports.every(isReport) || !news.every(isNews)) return undefined;
  return { reports, news };
}

function isReport(value: unknown): value is Report<FrontReport> {
  if (!isObject(value)) return false;
  const { host, version, neighbours, state } = value;
  return typeof host === "string" && Number.isSafeInteger(version) &&
    Array.isArray(neighbours) && neighbours.length <= MAX_NEIGHBOURS &&
    neighbours.every((it) => typeof it === "string") &&
    isObject(state) && isFrontState(state["state"]);
}

/** Whether a value is a state in which a front can be. */
export function isFrontState(value: unknown): value is FrontState {
  return STATES.includes(value as FrontState);
}

function isNews(value: unknown): value is FrontNews {
  return isObject(value) && typeof value["kind"] === "string";
}

function isObject(value: unknown): value is Record<string, unknown> {
  return typeof value === "object" && value !== null;
}
