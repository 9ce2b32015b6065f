import type { Route, RoutingConfig } from "./config.ts";

/** The route of a request, if the configuration has one. */
export type RouteMatch = Route | undefined;

/** The route of a host with the longest prefix that begins the path. */
export function findRoute(
  config: RoutingConfig,
  host: string,
  path: string,
): RouteMatch {
  const hostName = host.replace(/:\d+$/, "").toLowerCase();
  let best: RouteMatch;
  for (const route of config.routes) {
    if (route.host !== hostName || !path.startsWith(route.prefix)) continue;
    if (!best || route.prefix.length > best.prefix.length) best = route;
  }
  return best;
}

/** The service that serves a request; `draw` is a number in [0, 1). */
export function serviceFor(route: Route, draw: number): string | undefined {
  const total = route.services.reduce((sum, it) => sum + it.weight, 0);
  let left = draw * total;
  for (const { service, weight } of route.services) {
    if (left < weight) return service;
    left -= weight;
  }
  return route.services.at(-1)?.service;
}
