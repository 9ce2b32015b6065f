import type { ReplicaHost, SpendRecord, TurnRecord, View } from "../src/mod.ts";

export function createHost(id: string): ReplicaHost {
  return { id, host: `host-${id}`, address: `10.0.0.1:1`, dataCentre: "a" };
}

export function createView(
  opts: Partial<View> & { ids?: string[] } = {},
): View {
  const { ids = ["a", "b", "c"], ...rest } = opts;
  return {
    number: 1,
    tolerate: 1,
    members: ids.map(createHost),
    former: [],
    ...rest,
  };
}

export function createTurn(id: string): TurnRecord {
  return {
    kind: "turn",
    id,
    prompt: Buffer.from(`prompt of ${id}`),
    upstream: "u1",
    tokens: 10,
    expiresAt: 1_000,
  };
}

export function createSpend(
  turn: string,
  opts: Partial<SpendRecord> = {},
): SpendRecord {
  return {
    kind: "spend",
    program: "p",
    turn,
    reserved: 10,
    settled: undefined,
    hint: undefined,
    expiresAt: 1_000,
    ...opts,
  };
}
