import type { Logger } from "@toucantrestle/log";
import type { MemoryHolders } from "@toucantrestle/memory";
import type { SpeedEstimate, WorkKind } from "@toucantrestle/policy";
import type {
  ChooserName,
  CrashTracker,
  Mechanism,
  PrefixIndex,
  TrackedUpstream,
  UpstreamRegistry,
} from "@toucantrestle/routing";
import type { Timer } from "@toucantrestle/timer";
import type { TurnStoreClient } from "@toucantrestle/turn_store";
import type { CrashSuspicions } from "./crash_suspicions.ts";
import type { Detour } from "./detour.ts";
import type { DirectPath } from "./direct_path.ts";
import type { NoticeReader } from "./notice_reader.ts";
import type { Dial } from "@toucantrestle/upstream_channel";
import type { Protocol } from "./protocol.ts";
import type { QuotaClient } from "./quota_client.ts";
import type { RecentPrograms } from "./recent_programs.ts";
import type { PermitWeights } from "./permit_weights.ts";
import type { RequestPermits } from "./request_permits.ts";
import type { UpstreamPaths } from "./upstream_paths.ts";
import type { UpstreamPools } from "./upstream_pools.ts";

/** Dependencies of serving a call. */
export interface ServeOptions {
  protocol: Protocol;
  upstreamRegistry: UpstreamRegistry;
  prefixIndex: PrefixIndex;
  crashTracker: CrashTracker;
  crashSuspicions: CrashSuspicions;
  noticeReader: NoticeReader;
  permits: RequestPermits;
  permitWeights: PermitWeights;
  quotas: QuotaClient;
  recentPrograms: RecentPrograms;
  pools: UpstreamPools;
  directPath: DirectPath;
  detour: Detour;
  paths: UpstreamPaths;
  dial: Dial;
  turnStore: TurnStoreClient;
  chooser: ChooserName;
  /** Mechanisms that are switched off. */
  disabled: ReadonlySet<Mechanism>;
  /** Returns the speed of the engines of a service. */
  speedOf: (service: string) => SpeedEstimate;
  host: string;
  dataCentre: string;
  /** Called when the load that this front puts on an upstream changes. */
  onLoadChange: (upstream: string, kind: WorkKind) => void;
  /** Updates the known load of upstreams, if that takes a query. */
  queryLoads: (upstreams: TrackedUpstream[]) => Promise<void>;
  /** Time since the last update of the list of upstreams, in ms. */
  upstreamsAgeMs: () => number;
  /** Store revision of what is known of an upstream; 0 if nothing is. */
  upstreamRevision: (id: string) => number;
  /** What keeps memory for callers and upstreams. */
  holders: MemoryHolders;
  timer: Timer;
  log: Logger;
}
