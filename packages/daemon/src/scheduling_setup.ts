import { createHostList } from "@toucantrestle/host_list";
import type { LoggerFactory } from "@toucantrestle/log";
import type { MemoryHolders } from "@toucantrestle/memory";
import type { Metrics } from "@toucantrestle/metrics";
import type { SiblingNet } from "@toucantrestle/sibling";
import type { Timer } from "@toucantrestle/timer";
import { CallerLimits } from "./caller_limits.ts";
import { PlacementQueue } from "./placement_queue.ts";
import { LoadReader } from "./load_reader.ts";
import type { StoreView } from "./store_view.ts";
import { Upstreams } from "./upstreams.ts";

/** Components that decide which call runs when and on which upstream. */
export interface Scheduling {
  callerLimits: CallerLimits;
  placementQueue: PlacementQueue;
  upstreams: Upstreams;
  loadReader: LoadReader;
}

/** Options of `setUpScheduling`. */
export interface SchedulingOptions {
  /** URL of the platform's host list; undefined if none is used. */
  hostListUrl: string | undefined;
  selfHost: string;
  view: StoreView;
  net: () => SiblingNet;
  timer: Timer;
  logs: LoggerFactory;
  metrics: Metrics;
  holders: MemoryHolders;
}

const HOST_LIST_TIMEOUT_MS = 2_000;

/** Creates and connects the scheduling components. */
export function setUpScheduling(opts: SchedulingOptions): Scheduling {
  const { hostListUrl, selfHost, view, net, timer, logs, metrics, holders } =
    opts;
  const callerLimits: CallerLimits = new CallerLimits({
    view,
    net,
    timer,
    selfHost,
    waiting: () => placementQueue.dispatcher.waitingByCaller(),
    onGranted: () => placementQueue.schedulePoll(),
  });
  const placementQueue: PlacementQueue = new PlacementQueue({
    policy: "toucantrestle",
    limits: callerLimits,
    queueLimit: () => view.tableView.system.queueLimit,
    timer,
    metrics,
  });
  const upstreams = new Upstreams({
    view: () => view.tableView,
    hostList: hostListUrl === undefined ? undefined : createHostList({
      url: hostListUrl,
      timeoutMs: HOST_LIST_TIMEOUT_MS,
      holders,
    }),
    timer,
    log: logs("upstream"),
    holders,
    onChange: (infos) => placementQueue.setUpstreams(infos),
  });
  const loadReader = new LoadReader({
    upstreams,
    placementQueue,
    timer,
    net,
    selfHost,
    liveHosts: () =>
      [...view.hosts.values()].filter((it) => it.state === "live")
        .map((it) => it.host),
  });
  return { callerLimits, placementQueue, upstreams, loadReader };
}
