import type { TrackedUpstream } from "@toucantrestle/routing";
import type { Call } from "./call.ts";
import type { ServeOptions } from "./serve_options.ts";
import type { PathKind } from "./upstream_paths.ts";

/** What decided an attempt, for the log. */
export interface RoutedDetails {
  upstream: TrackedUpstream;
  path: PathKind;
  isTurn: boolean;
  uncachedTokens: number;
  timeLeftMs: number;
  programLeftMs: number | undefined;
  tries: number;
}

/** Records that a call is sent to an upstream, with the values that decided. */
export function recordRouted(
  call: Call,
  details: RoutedDetails,
  opts: ServeOptions,
): void {
  const { upstream, path, isTurn } = details;
  const { upstreamRegistry, timer, upstreamsAgeMs } = opts;
  const { entry } = upstream;
  const load = upstreamRegistry.loadOf(upstream, timer.monotonicNow());
  call.recorder.record("routed", `call sent to ${entry.id}`, {
    upstream: entry.id,
    softwareVersion: entry.softwareVersion,
    resumeAfter: call.head.lastEventId,
    resumedRequest: call.head.resumedRequest,
    service: call.service,
    path,
    configVersion: call.config.version,
    upstreamsAgeMs: Math.round(upstreamsAgeMs()),
    upstreamRevision: opts.upstreamRevision(entry.id),
    running: load.running,
    maxRequestsPerS: upstreamRegistry.notices.maxRequestsPerS(entry),
    waitingTokens: isTurn ? load.prefillTokens : undefined,
    unreadTokens: isTurn ? details.uncachedTokens : undefined,
    timeLeftMs: Math.round(details.timeLeftMs),
    programLeftMs: details.programLeftMs,
    tries: details.tries,
  });
}
