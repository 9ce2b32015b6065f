import type { Logger } from "@toucantrestle/log";
import type { TrackedUpstream } from "@toucantrestle/routing";
import type {
  ExchangeControl,
  ExchangeSender,
  OutgoingRequest,
  ProcessDemand,
  ResponseHandlers,
} from "@toucantrestle/upstream_channel";
import type { DirectPath } from "./direct_path.ts";
import { type OpenRelay, sendThroughSibling } from "./exchange_relay.ts";
import type { PathFailureReason } from "./path_failure.ts";
import type { UpstreamPools } from "./upstream_pools.ts";

/** Options of `UpstreamPaths`. */
export interface UpstreamPathsOptions {
  pools: UpstreamPools;
  directPath: DirectPath;
  log: Logger;
  /**
   * Returns how to open a relay through a sibling that reaches the upstreams of
   * a data centre, or of any; undefined if there is none.
   */
  chooseRelay: (dataCentre: string | undefined) => OpenRelay | undefined;
}

/** Way that a request takes. */
export type PathKind = "direct" | "sibling";

/** A way to one upstream. */
export interface UpstreamPath extends ExchangeSender<PathFailureReason> {
  kind: PathKind;
}

/** Chooses the way to an upstream: directly or through a sibling. */
export class UpstreamPaths {
  readonly #opts: UpstreamPathsOptions;

  constructor(opts: UpstreamPathsOptions) {
    this.#opts = opts;
  }

  /** Whether a sibling can forward requests to upstreams. */
  get hasRelay(): boolean {
    return this.#opts.chooseRelay(undefined) !== undefined;
  }

  /**
   * Returns the way to an upstream; undefined if there is none at present.
   * `avoidsDirect` asks for a sibling. `timeLeftMs` is the time within which
   * the response is needed.
   */
  pathTo(
    upstream: TrackedUpstream,
    { avoidsDirect, timeLeftMs }: { avoidsDirect: boolean; timeLeftMs: number },
  ): UpstreamPath | undefined {
    const { pools, directPath, chooseRelay, log } = this.#opts;
    const { entry } = upstream;
    const { id, dataCentre } = entry;
    // Connections that were open before the cut and are idle now have worked.
    const isDirect = !avoidsDirect &&
      (!directPath.isCut || pools.hasIdle(id));
    if (isDirect) return this.#directPathTo(upstream);
    const open = chooseRelay(dataCentre);
    return open && {
      kind: "sibling",
      send: (req, handlers, demand) =>
        sendThroughSibling(open, entry, {
          req,
          timeLeftMs,
          demand,
          handlers,
          log,
        }),
    };
  }

  #directPathTo(upstream: TrackedUpstream): UpstreamPath {
    const { pools, directPath } = this.#opts;
    return {
      kind: "direct",
      send(
        req: OutgoingRequest,
        handlers: ResponseHandlers<PathFailureReason>,
        demand?: ProcessDemand,
      ): ExchangeControl {
        const endTracking = directPath.track();
        return pools.poolOf(upstream).send(req, {
          ...handlers,
          onEnd() {
            endTracking();
            handlers.onEnd();
          },
          onFailure(failure) {
            endTracking();
            handlers.onFailure(failure);
          },
        }, demand);
      },
    };
  }
}
