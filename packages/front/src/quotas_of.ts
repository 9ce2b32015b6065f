import type { Quota } from "@toucantrestle/quota";
import type { RoutingConfig } from "@toucantrestle/routing";

/** Returns the quotas in a configuration, by organisation. */
export function quotasOf(
  { organisations }: RoutingConfig,
): ReadonlyMap<string, Quota> {
  const quotas = new Map<string, Quota>();
  for (const { name, quota } of organisations?.all() ?? []) {
    if (quota) quotas.set(name, quota);
  }
  return quotas;
}
