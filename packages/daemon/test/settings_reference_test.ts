import { formatReference } from "@toucantrestle/settings";
import { expect } from "earl";
import { readFileSync } from "node:fs";
import { dirname, join } from "node:path";
import { describe, it } from "node:test";
import { fileURLToPath } from "node:url";
import { DAEMON_SETTINGS } from "../src/mod.ts";

const PAGE = join(
  dirname(fileURLToPath(import.meta.url)),
  ...["..", "..", "..", "..", "docs", "operators", "settings.md"],
);

/** Line breaks are the formatter's. */
function words(text: string): string {
  return text.replace(/\s+/g, " ").trim();
}

describe("the settings reference", () => {
  it("lists every setting as the daemon knows it", () => {
    const expected = formatReference("toucantrestled", DAEMON_SETTINGS);
    expect(words(readFileSync(PAGE, "utf8"))).toEqual(words(expected));
  });
});
