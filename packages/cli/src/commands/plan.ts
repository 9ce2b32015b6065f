import {
  type Difference,
  diffTable,
  formatDifference,
  parseDeclaration,
} from "@toucantrestle/table";
import { readFileSync } from "node:fs";
import type { OperatorClient } from "@toucantrestle/operator";
import { type Command, requireArg, UsageError } from "../command.ts";

/** Prints the changes that `apply` would make. */
export const plan: Command = {
  help: `plan FILE

  Prints the changes that applying the declaration would make.`,
  flags: {},
  async handler(ctx) {
    const file = requireArg(ctx, 0, "FILE");
    const difference = await diffDeclaration(ctx.client, file);
    const lines = formatDifference(difference);
    ctx.print(lines.length > 0 ? lines : ["no changes"], difference);
  },
};

/** Compares a declaration file with the current table. */
export async function diffDeclaration(
  client: OperatorClient,
  file: string,
): Promise<Difference> {
  const rows = parseDeclaration(readDeclarationFile(file));
  return diffTable(await client.table(), rows);
}

function readDeclarationFile(file: string): string {
  try {
    return readFileSync(file, "utf8");
  } catch {
    throw new UsageError(`cannot read declaration file ${file}`);
  }
}
