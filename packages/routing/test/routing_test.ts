import { expect } from "earl";
import { describe, it } from "node:test";
import {
  chooseService,
  decideFailureAction,
  findRoute,
  PrefixIndex,
  type Route,
  type RoutingConfig,
} from "../src/mod.ts";
import { createConfig, createRoute } from "./fixtures.ts";

describe("findRoute", () => {
  const config: RoutingConfig = createConfig([
    createRoute({ name: "all", prefix: "/" }),
    createRoute({ name: "long", prefix: "/a/b/" }),
    createRoute({ name: "short", prefix: "/a/" }),
    createRoute({ name: "other", host: "other.example", prefix: "/a/b/c/" }),
  ]);
  const routeNameFor = (host: string, path: string) =>
    findRoute(config, host, path)?.name;

  it("selects the route with the longest prefix", () => {
    expect(routeNameFor("x.example", "/a/b/c/d")).toEqual("long");
    expect(routeNameFor("x.example", "/a/bc")).toEqual("short");
    expect(routeNameFor("x.example", "/z")).toEqual("all");
  });

  it("matches the host name without port and case", () => {
    expect(routeNameFor("OTHER.example:80", "/a/b/c/d")).toEqual("other");
    expect(routeNameFor("none.example", "/a/")).toEqual(undefined);
  });

  it("splits traffic between services by weight", () => {
    const route = createRoute({
      services: [{ service: "s", weight: 90 }, { service: "t", weight: 10 }],
    });
    expect(chooseService(route, 0.89)).toEqual("s");
    expect(chooseService(route, 0.91)).toEqual("t");
  });
});

describe("the action after a failed attempt", () => {
  function decide(
    route: Partial<Route>,
    opts: Partial<Parameters<typeof decideFailureAction>[0]>,
  ) {
    return decideFailureAction({
      route: createRoute(route),
      verdict: "may_have_run",
      runs: 1,
      declines: 0,
      timeLeftMs: 1_000,
      ...opts,
    });
  }

  it("never retries a non-idempotent request that may have run", () => {
    expect(decide({ kind: "non_idempotent" }, {})).toEqual("fail");
    expect(decide({ kind: "streaming" }, {})).toEqual("fail");
  });

  it("retries an idempotent request on at most maxRuns upstreams", () => {
    const route = { kind: "idempotent", maxRuns: 2 } as const;
    expect(decide(route, { runs: 1 })).toEqual("retry");
    expect(decide(route, { runs: 2 })).toEqual("fail");
  });

  it("retries on another upstream when one declined", () => {
    const declined = { verdict: "not_run", runs: 0, declines: 1 } as const;
    expect(decide({ kind: "non_idempotent" }, declined)).toEqual("retry");
  });

  it("refuses the request when too many upstreams declined", () => {
    const declined = { verdict: "not_run", runs: 0, declines: 4 } as const;
    expect(decide({}, declined)).toEqual("refuse");
  });

  it("never reports that the request did not run when it may have run", () => {
    const late = { verdict: "not_run", runs: 1, declines: 4 } as const;
    expect(decide({ kind: "idempotent" }, late)).toEqual("fail");
    expect(decide({}, { timeLeftMs: 5 })).toEqual("time_out");
  });
});

describe("cached prompt parts", () => {
  const parts = [{ id: "s", tokens: 100 }, { id: "own", tokens: 50 }];

  it("count only if all preceding parts are cached", () => {
    const index = new PrefixIndex();
    index.recordPrefill("u1", parts);
    index.recordPrefill("u2", [{ id: "own", tokens: 50 }]);
    expect(index.cachedTokens("u1", parts)).toEqual(150);
    expect(index.cachedTokens("u2", parts)).toEqual(0);
  });

  it("are removed with their upstream", () => {
    const index = new PrefixIndex();
    index.recordPrefill("u1", parts);
    index.removeUpstream("u1");
    expect(index.cachedTokens("u1", parts)).toEqual(0);
  });
});
