import {
  CrashTracker,
  PrefixIndex,
  type UpstreamProcess,
  UpstreamRegistry,
} from "@toucantrestle/routing";
import { MemoryHolders } from "@toucantrestle/memory";
import { type Relay, TurnStoreClient } from "@toucantrestle/turn_store";
import { dialTcp, isListening } from "@toucantrestle/upstream_channel";
import { DEFAULT_BOUNDS } from "@toucantrestle/quota";
import { randomUUID } from "node:crypto";
import { Collectors } from "./collectors.ts";
import { ConfigWatcher } from "./config_watcher.ts";
import { CrashSuspicions } from "./crash_suspicions.ts";
import { Detour } from "./detour.ts";
import { DirectPath } from "./direct_path.ts";
import { serveRelayedExchange } from "./exchange_relay.ts";
import { FleetShare } from "./fleet_share.ts";
import type { FrontOptions } from "./front_options.ts";
import { LoadSharing } from "./load_sharing.ts";
import { NoticeReader } from "./notice_reader.ts";
import { createProcessQuestions } from "./process_questions.ts";
import { PermitWeights } from "./permit_weights.ts";
import { type FrontReport, toNews } from "./protocol.ts";
import { quotaCandidates } from "./quota_candidates.ts";
import { QuotaClient } from "./quota_client.ts";
import { RecentPrograms } from "./recent_programs.ts";
import { RequestPermits } from "./request_permits.ts";
import type { ServeOptions } from "./serve_options.ts";
import { toCrashNews, toSuccessNews } from "./siblings/crash_news.ts";
import { FleetNews } from "./siblings/fleet_news.ts";
import { Siblings } from "./siblings/siblings.ts";
import { StoreReaders } from "./siblings/store_readers.ts";
import { SpeedEstimates } from "./speed_estimates.ts";
import { UpstreamContact } from "./upstream_contact.ts";
import { UpstreamPaths } from "./upstream_paths.ts";
import { UpstreamPools } from "./upstream_pools.ts";
import { UpstreamWatcher } from "./upstream_watcher.ts";

/** Parts of a front, connected to each other and not started. */
export interface FrontParts {
  configWatcher: ConfigWatcher;
  upstreamWatcher: UpstreamWatcher;
  siblings: Siblings;
  storeReaders: StoreReaders;
  contact: UpstreamContact;
  turnStore: TurnStoreClient;
  serveOptions: ServeOptions;
}

/** What the parts need of the front itself. */
export interface FrontHooks {
  report: () => FrontReport;
  /** Returns how long the front still runs what it takes on, in ms. */
  runLeftMs: () => number;
}

/** Creates the parts of a front. */
export function createFrontParts(
  opts: FrontOptions,
  hooks: FrontHooks,
): FrontParts {
  const { protocol, timer, loggers, host, dataCentre, fleet } = opts;
  const prefixIndex = new PrefixIndex();
  const crashTracker = new CrashTracker();
  const speeds = new SpeedEstimates();
  const dial = opts.dial ?? dialTcp;
  const contact = new UpstreamContact({ timer, metrics: opts.metrics });
  const pools = new UpstreamPools({
    timer,
    log: loggers("upstream"),
    dial,
    contact,
    mayReceive: (process) => upstreamRegistry.mayReceive(process),
    echoedRequestId: (head) => protocol.echoedRequestId(head),
    createQuestions: (entry) =>
      createProcessQuestions(entry, protocol.processQueries),
    onRestart: (process) => upstreamRegistry.recordRestart(process),
    readsEntries: () => upstreamWatcher.isReachable,
  });
  const upstreamRegistry = new UpstreamRegistry({
    onInstanceGone: (id) => {
      prefixIndex.removeUpstream(id);
      pools.remove(id);
      contact.remove(id);
    },
  });
  const noticeReader = new NoticeReader({
    protocol,
    notices: upstreamRegistry.notices,
    timer,
    onNews: (notice) => siblings.publish({ kind: "notice", notice }),
    log: loggers("upstream"),
  });
  const directPath = new DirectPath({
    timer,
    contact,
    // An entry of an unknown service may come from another system.
    candidates: () =>
      upstreamRegistry.accepting((service) =>
        configWatcher.config?.services.some((it) => it.name === service) ?? true
      ),
    probe: (address) => isListening(address, dial),
    random: Math.random,
    log: loggers("upstream"),
  });
  const configWatcher = new ConfigWatcher({
    protocol,
    log: loggers("config"),
  });
  const upstreamWatcher = new UpstreamWatcher({
    protocol,
    upstreamRegistry,
    isStoreReader: () => storeReaders.isReader,
    onChange: (change) => siblings.publish(toNews(change)),
    maxRetryMs: () => storeReaders.maxRetryMs,
    timer,
    log: loggers("upstream"),
  });
  const news = new FleetNews({
    configWatcher,
    noticeReader,
    crashTracker,
    upstreamWatcher,
    timer,
    onNewerConfig: (version, host) => siblings.announceConfig(version, host),
    log: loggers("sibling"),
  });
  const turnStore = new TurnStoreClient({
    self: host,
    dataCentre,
    timer,
    log: loggers("turns"),
    holders: opts.holders,
    onView: (view) => fleet.applyView(view),
    canRelay: () => siblings.requests.canRelay,
    relay: ((memberId, name, args) =>
      siblings.requests.relay({ memberId, name, args })) as Relay,
    relaySettle: (memberId, notice) =>
      siblings.requests.relaySettle({ memberId, notice }),
  });
  const siblings = new Siblings({
    self: host,
    dataCentre,
    linkAddress: opts.linkAddress,
    seeds: opts.seeds,
    holders: opts.holders,
    fleet,
    configWatcher,
    report: () => hooks.report(),
    applyNews: (it, from) => news.apply(it, from),
    recentNews: () => news.recent(),
    onLoads: (report) => loadSharing.applyReport(report),
    answerLoads: (query) => loadSharing.answerQuery(query),
    answerPermit: (query) => permits.answer(query),
    answerQuota: (query) => quotas.answer(query),
    forward: ({ memberId, name, args }) =>
      turnStore.links.forward(memberId, name, args as never),
    forwardSettle: ({ memberId, notice }) => {
      turnStore.links.forwardSettle(memberId, notice);
    },
    reachesUpstreams: () => directPath.reachesNow(),
    serveExchange: (args, receiver) =>
      serveRelayedExchange(args, receiver, {
        upstreamRegistry,
        pools,
        noticeReader,
        canReachUpstreams: () => !directPath.isCut,
        runLeftMs: hooks.runLeftMs,
        timer,
      }),
    answerProbe: async (process) => ({
      isListening: await probeForSibling(process),
    }),
    upstreams: () => upstreamWatcher.list(),
    onUpstreams: (list) => upstreamWatcher.mergeFromSibling(list),
    timer,
    log: loggers("sibling"),
  });
  /** Probes an upstream; fails if this front reaches none. */
  async function probeForSibling(process: UpstreamProcess): Promise<boolean> {
    if (!upstreamRegistry.isCurrent(process)) return false;
    const address = upstreamRegistry.get(process.id)?.entry.address ?? "";
    const hasAnswered = await isListening(address, dial);
    if (hasAnswered || !directPath.isCut) return hasAnswered;
    throw new Error("no upstream can be reached from here");
  }
  const storeReaders = new StoreReaders({
    self: host,
    timer,
    dataCentreOf: (it) => fleet.front(it)?.dataCentre,
    candidates: () => siblings.storeReaderCandidates,
    log: loggers("sibling"),
  });
  const collectors = new Collectors({
    self: host,
    timer,
    siblings,
  });
  const loadSharing = new LoadSharing({
    self: host,
    timer,
    upstreamRegistry,
    siblings: siblings.requests,
    collectors,
    isEnabled: !opts.disabled.has("shared_loads"),
    log: loggers("sibling"),
  });
  const share = new FleetShare({
    self: host,
    timer,
    connectedSiblings: () => collectors.siblings,
    registeredFronts: () => fleet.fronts,
  });
  const quotas = new QuotaClient({
    self: host,
    processId: `${host}/${randomUUID()}`,
    bounds: opts.quotaBounds ?? DEFAULT_BOUNDS,
    isFirstStart: opts.isFirstStart ?? false,
    candidates: () =>
      quotaCandidates({
        self: host,
        isReady: hooks.report().state === "ready",
        siblings: collectors.siblings,
        isSiblingReady: (it) => siblings.stateOf(it) === "ready",
      }),
    share,
    links: siblings.requests,
    random: Math.random,
    timer,
    metrics: opts.metrics,
    log: loggers("quota"),
  });
  const permits = new RequestPermits({
    self: host,
    timer,
    notices: upstreamRegistry.notices,
    collectors,
    share,
    links: siblings.requests,
    log: loggers("sibling"),
  });
  const crashSuspicions = new CrashSuspicions({
    crashTracker,
    isCurrent: (it) => upstreamRegistry.isCurrent(it),
    isCut: () => directPath.isCut,
    probe: (address) => isListening(address, dial),
    probeThroughSibling: (it) => siblings.probeUpstream(it),
    onCrash: (report) => siblings.publish(toCrashNews(report)),
    onSuccess: (report) => siblings.publish(toSuccessNews(report)),
    timer,
    log: loggers("upstream"),
  });
  const serveOptions: ServeOptions = {
    protocol,
    upstreamRegistry,
    prefixIndex,
    crashTracker,
    crashSuspicions,
    noticeReader,
    permits,
    permitWeights: new PermitWeights(),
    quotas,
    recentPrograms: new RecentPrograms(),
    pools,
    dial,
    directPath,
    detour: new Detour({
      directPath,
      confirm: () => siblings.requests.confirmExchangeRelay(),
      timer,
      log: loggers("upstream"),
    }),
    paths: new UpstreamPaths({
      pools,
      directPath,
      log: loggers("upstream"),
      chooseRelay: (dataCentre) =>
        siblings.requests.chooseExchangeRelay(dataCentre),
    }),
    turnStore,
    chooser: opts.chooser,
    disabled: opts.disabled,
    speedOf: (service) => speeds.of(service),
    host,
    dataCentre,
    onLoadChange: (id, kind) => loadSharing.reportChange(id, kind),
    queryLoads: (upstreams) => loadSharing.query(upstreams),
    upstreamsAgeMs: () => upstreamWatcher.ageMs,
    upstreamRevision: (id) => upstreamWatcher.revisionOf(id),
    holders: opts.holders ?? new MemoryHolders(),
    timer,
    log: loggers("call"),
  };
  return {
    configWatcher,
    upstreamWatcher,
    siblings,
    storeReaders,
    contact,
    turnStore,
    serveOptions,
  };
}
