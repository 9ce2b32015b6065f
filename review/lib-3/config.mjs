// Configurations and a base for the cases.
export const LIMITS = {
  maxHeaderBytes: 16384,
  maxBodyBytes: 4194304,
  headerTimeoutMs: 3000,
  idleTimeoutMs: 15000,
};

export const engine = (tokensPerEvent) => ({
  slots: 16,
  kvCapacity: 123504,
  kvTokenBytes: 327680,
  linkMbps: 1100000,
  moveCount: true,
  backups: true,
  tokensPerEvent,
  most: 12,
  pinMs: 4000,
  holdMs: 2000,
  handle_s: 5,
  models: [{ name: "m" }],
});

export const service = (name, tokensPerEvent) => ({
  name,
  healthPath: "/health",
  maxConns: 160,
  protocol: "h1",
  tls: false,
  ...(tokensPerEvent && { engine: engine(tokensPerEvent) }),
});

export const route = (name, prefix, kind, opts) => ({
  name,
  host: "site.example",
  prefix,
  kind,
  timeoutMs: 4000,
  targetLatencyMs: 200,
  priority: 1,
  maxAttempts: 1,
  retainContext: false,
  retentionS: 60,
  sticky: true,
  resumable: false,
  gapAimMs: 200,
  ...opts,
});
