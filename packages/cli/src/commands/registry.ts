import type { Command } from "../command.ts";
import { apply } from "./apply.ts";
import { createCompletionCommand } from "./completion.ts";
import { drain } from "./drain.ts";
import { edit } from "./edit.ts";
import { explain } from "./explain.ts";
import { exportTable } from "./export.ts";
import { history } from "./history.ts";
import { keys } from "./keys.ts";
import { plan } from "./plan.ts";
import { program } from "./program.ts";
import { programs } from "./programs.ts";
import { rows } from "./rows.ts";
import { status } from "./status.ts";
import { timeline } from "./timeline.ts";

/** All commands, keyed by command name. */
export const COMMANDS: Readonly<Record<string, Command>> = {
  plan,
  apply,
  export: exportTable,
  edit,
  rows,
  history,
  status,
  programs,
  program,
  timeline,
  drain,
  explain,
  keys,
  completion: createCompletionCommand(() => Object.keys(COMMANDS)),
};
