/**
 * Wire format of the etcd v3 HTTP/JSON gateway: keys and values are base64,
 * 64-bit integers are decimal strings.
 */
import { Buffer } from "node:buffer";
import type { StoreEvent, StoreItem } from "./store.ts";

/** A key and its value on the wire. */
export interface WireKv {
  key: string;
  value?: string;
  mod_revision?: string;
}

/** Header of each response. */
export interface WireHeader {
  revision?: string;
}

/** Response to a range read. */
export interface WireRange {
  header?: WireHeader;
  kvs?: WireKv[];
}

/** Response to a transaction. */
export interface WireTxn {
  header?: WireHeader;
  succeeded?: boolean;
  responses?: { response_range?: WireRange }[];
}

/** One line of the response to a watch. */
export interface WireWatch {
  result?: {
    header?: WireHeader;
    created?: boolean;
    canceled?: boolean;
    /** Oldest revision that is left; set if the watch began before it. */
    compact_revision?: string;
    events?: { type?: "PUT" | "DELETE"; kv: WireKv }[];
  };
}

/** Encodes a key or value as base64. */
export function encode(text: string): string {
  return Buffer.from(text).toString("base64");
}

/** Decodes a key or value from base64; an absent one is empty. */
export function decode(text: string | undefined): string {
  return Buffer.from(text ?? "", "base64").toString();
}

/** Returns the exclusive end of the range of all keys below a prefix. */
export function prefixEnd(prefix: string): string {
  const last = prefix.charCodeAt(prefix.length - 1);
  return prefix.slice(0, -1) + String.fromCharCode(last + 1);
}

/** Converts a key and its value from the wire format. */
export function toStoreItem(kv: WireKv): StoreItem {
  return {
    key: decode(kv.key),
    value: decode(kv.value),
    modRevision: Number(kv.mod_revision ?? 0),
  };
}

/** Converts the events of one line of a watch from the wire format. */
export function toStoreEvents(line: WireWatch): StoreEvent[] {
  const events = line.result?.events ?? [];
  return events.map((event) =>
    event.type === "DELETE"
      ? {
        kind: "delete",
        key: decode(event.kv.key),
        revision: Number(event.kv.mod_revision ?? 0),
      }
      : { kind: "put", item: toStoreItem(event.kv) }
  );
}
