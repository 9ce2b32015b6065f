import type { UpstreamRegistry } from "@toucantrestle/routing";
import type { PromptHint } from "@toucantrestle/turn_log";

/**
 * Returns the hints whose process still runs, as far as is known here. Records
 * of earlier builds do not name the process; their hints count for the present
 * one.
 */
export function currentHints(
  hints: PromptHint[],
  upstreamRegistry: Pick<UpstreamRegistry, "isCurrent">,
): PromptHint[] {
  return hints.filter(({ upstream: id, startedAt }) =>
    startedAt === undefined || upstreamRegistry.isCurrent({ id, startedAt })
  );
}
