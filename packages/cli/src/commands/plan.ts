import {
  type Difference,
  diffTable,
  formatDifference,
  parseDeclaration,
} from "@toucantrestle/table";
import { readFileSync } from "node:fs";
import type { OperatorClient } from "@toucantrestle/operator";
import { type Command, requireArg, UsageError } from "../command.ts";

/** Shows what `apply` would change. */
export const plan: Command = {
  help: `plan FILE

  Shows what applying the declaration would change.`,
  flags: {},
  async handler(ctx) {
    const file = requireArg(ctx, 0, "FILE");
    const difference = await compare(ctx.client, file);
    const lines = formatDifference(difference);
    ctx.print(lines.length > 0 ? lines : ["nothing to change"], difference);
  },
};

/** Compares a declaration file with the table in force. */
export async function compare(
  client: OperatorClient,
  file: string,
): Promise<Difference> {
  const rows = parseDeclaration(readFile(file));
  return diffTable(await client.table(), rows);
}

function readFile(file: string): string {
  try {
    return readFileSync(file, "utf8");
  } catch {
    throw new UsageError(`file ${file} cannot be read`);
  }
}
