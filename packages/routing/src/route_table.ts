import type { Route, RoutingConfig } from "./config.ts";

/** Route that matches a request; undefined if none matches. */
export type RouteMatch = Route | undefined;

/** Returns the host's route with the longest prefix of the path. */
export function findRoute(
  config: RoutingConfig,
  host: string,
  path: string,
): RouteMatch {
  const hostName = host.replace(/:\d+$/, "").toLowerCase();
  let match: RouteMatch;
  for (const route of config.routes) {
    if (route.host !== hostName || !path.startsWith(route.prefix)) continue;
    if (!match || route.prefix.length > match.prefix.length) match = route;
  }
  return match;
}

/**
 * Returns the service for a request, chosen by weight. `draw` is a random
 * number in [0, 1).
 */
export function chooseService(route: Route, draw: number): string | undefined {
  const totalWeight = route.services.reduce((sum, it) => sum + it.weight, 0);
  let remaining = draw * totalWeight;
  for (const { service, weight } of route.services) {
    if (remaining < weight) return service;
    remaining -= weight;
  }
  return route.services.at(-1)?.service;
}
