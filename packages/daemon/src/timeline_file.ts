import type { TimelineEvent } from "@toucantrestle/timeline";
import { createWriteStream, mkdirSync } from "node:fs";
import { join } from "node:path";

/**
 * Opens a file in the data folder to which timeline events are appended.
 * Without a data folder, no sink is returned. Write errors are ignored.
 */
export function openTimelineFile(
  folder: string | undefined,
  host: string,
): { sink?: (event: TimelineEvent) => void } {
  if (folder === undefined) return {};
  mkdirSync(folder, { recursive: true });
  const file = createWriteStream(join(folder, `timeline-${host}.jsonl`), {
    flags: "a",
  });
  file.on("error", () => {});
  return {
    sink: (event) => {
      file.write(JSON.stringify(event) + "\n");
    },
  };
}
