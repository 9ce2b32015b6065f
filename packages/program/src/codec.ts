import type { JournalEntry, JournalRecord } from "./record.ts";

/**
 * Serializes a record once. All replicas and the flush to the store use the
 * same JSON text.
 */
export function encodeEntry(lsn: number, record: JournalRecord): JournalEntry {
  return { lsn, json: JSON.stringify(record) };
}

/** Parses the record of an entry. */
export function decodeEntry(entry: JournalEntry): JournalRecord {
  return JSON.parse(entry.json) as JournalRecord;
}

/**
 * Serializes entries as the text of a chunk, one line per entry: log sequence
 * number, space, record as JSON.
 */
export function encodeChunk(entries: JournalEntry[]): string {
  return entries.map((it) => `${it.lsn} ${it.json}`).join("\n");
}

/** Parses the text of a chunk. */
export function decodeChunk(text: string): JournalEntry[] {
  if (text === "") return [];
  return text.split("\n").map((line) => {
    const separatorIndex = line.indexOf(" ");
    return {
      lsn: Number(line.slice(0, separatorIndex)),
      json: line.slice(separatorIndex + 1),
    };
  });
}
