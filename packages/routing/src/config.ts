import type { OrganisationIndex } from "@toucantrestle/organisations";

/** How a request whose outcome is unknown may be handled. */
export type RouteKind = "idempotent" | "non_idempotent" | "streaming";

/** Route of the requests with a given host name and path prefix. */
export interface Route {
  name: string;
  host: string;
  prefix: string;
  kind: RouteKind;
  /** Request timeout, in ms. */
  timeoutMs: number;
  /** Target latency: an answer within this time counts as on time, in ms. */
  onTimeMs: number;
  /** Priority rank of the route; 0 is the most urgent. */
  rank: number;
  /** Services with their weights, which split the route's traffic. */
  services: { service: string; weight: number }[];
  /** Maximum number of upstreams on which one caller request may run. */
  maxRuns: number;
  /** Whether finished turns are stored, so that requests can continue them. */
  keepsTurns: boolean;
  /** Retention of stored turns and token spending, in ms. */
  keepMs: number;
  /**
   * Whether an interrupted stream may be resumed on another upstream after the
   * last event that was received.
   */
  isResumable: boolean;
  /** Whether requests need no API key although organisations are configured. */
  isPublic?: boolean | undefined;
}

/** Properties of the engines of a service. */
export interface EngineInfo {
  /** Number of requests that one engine runs concurrently. */
  slots: number;
  cacheTokens: number;
  tokensPerEvent: number;
}

/** Group of interchangeable upstreams. */
export interface ServiceInfo {
  name: string;
  maxConnections: number;
  engine: EngineInfo | undefined;
}

/** Version of the routing configuration. Times are in ms, sizes in bytes. */
export interface RoutingConfig {
  version: number;
  routes: Route[];
  services: ServiceInfo[];
  /** Undefined if no organisations are configured; requests need no key then. */
  organisations?: OrganisationIndex | undefined;
  limits: {
    headerBytes: number;
    bodyBytes: number;
    headerTimeoutMs: number;
    idleTimeoutMs: number;
  };
}
