/** What may be done with a request whose outcome is not known. */
export type RouteKind = "idempotent" | "non_idempotent" | "streaming";

/** Where requests of a host and path prefix go. */
export interface Route {
  name: string;
  host: string;
  prefix: string;
  kind: RouteKind;
  /** Longest time that a request may take, in ms. */
  timeoutMs: number;
  /** Time within which an answer is on time, in ms. */
  onTimeMs: number;
  /** Rank of the route; 0 is the most urgent. */
  rank: number;
  /** Services by share of the requests. */
  services: { service: string; weight: number }[];
  /** Upstreams on which one attempt of a caller may run. */
  maxRuns: number;
  /** Whether finished turns are kept, to be continued by their id. */
  keepsTurns: boolean;
  /** How long turns and spending are remembered, in ms. */
  keepMs: number;
  /** Whether a stream may go on at another upstream after its last event. */
  isResumable: boolean;
}

/** Engines of a service. */
export interface EngineInfo {
  /** Requests that one engine runs at once. */
  slots: number;
  cacheTokens: number;
  tokensPerEvent: number;
}

/** A group of upstreams that do the same work. */
export interface ServiceInfo {
  name: string;
  maxConnections: number;
  engine: EngineInfo | undefined;
}

/** One version of the operators' configuration. Times in ms, sizes in bytes. */
export interface RoutingConfig {
  version: number;
  routes: Route[];
  services: ServiceInfo[];
  limits: {
    headerBytes: number;
    bodyBytes: number;
    headerTimeoutMs: number;
    idleTimeoutMs: number;
  };
}
