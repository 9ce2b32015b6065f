import type { JournalEntry, JournalRecord } from "./record.ts";

/** Packs a record once, for all holders and for the flush. */
export function packEntry(lsn: number, record: JournalRecord): JournalEntry {
  return { lsn, json: JSON.stringify(record) };
}

/** Unpacks the record of an entry. */
export function unpackEntry(entry: JournalEntry): JournalRecord {
  return JSON.parse(entry.json) as JournalRecord;
}

/** Packs entries into the text of a chunk: a line each, number and record. */
export function packChunk(entries: JournalEntry[]): string {
  return entries.map((it) => `${it.lsn} ${it.json}`).join("\n");
}

/** Unpacks the text of a chunk. */
export function unpackChunk(text: string): JournalEntry[] {
  if (text === "") return [];
  return text.split("\n").map((line) => {
    const space = line.indexOf(" ");
    return { lsn: Number(line.slice(0, space)), json: line.slice(space + 1) };
  });
}
