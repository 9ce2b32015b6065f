import type { Fleet } from "@toucantrestle/fleet";
import { createNoopLoggers } from "@toucantrestle/log";
import { expect } from "earl";
import { describe, it } from "node:test";
import type { FrontReport, FrontState } from "../src/protocol.ts";
import type { SiblingLinks } from "../src/siblings/sibling_links.ts";
import { SiblingRequests } from "../src/siblings/sibling_requests.ts";

const TRIES = 30;

/** A sibling; without a link it is only heard of. */
interface Sibling {
  state: FrontState;
  isLinked: boolean;
  dataCentre?: string;
}

// Guards against LOST: fronts went on choosing a relay that was about to end.
describe("the choice of a sibling that forwards requests", () => {
  it("prefers ready ones, for upstreams and for turn stores", async () => {
    const { requests, used } = createRequests({
      stopping: { state: "stopping", isLinked: true },
      starting: { state: "starting", isLinked: true },
      ready: { state: "ready", isLinked: true },
    });
    for (let i = 0; i < TRIES; i++) {
      requests.chooseExchangeRelay("a")?.({} as never, {} as never);
      await requests.relay({} as never);
    }
    expect(new Set(used)).toEqual(new Set(["ready"]));
  });

  it("prefers a ready one to one that stops in the own data centre", () => {
    const { requests, used } = createRequests({
      stopping: { state: "stopping", isLinked: true, dataCentre: "a" },
      ready: { state: "ready", isLinked: true, dataCentre: "b" },
    });
    requests.chooseExchangeRelay("a")?.({} as never, {} as never);
    expect(used).toEqual(["ready"]);
  });

  it("takes one that stops if it is the only one, and dials a ready one", () => {
    const { requests, used, dialled } = createRequests({
      stopping: { state: "stopping", isLinked: true },
      ready: { state: "ready", isLinked: false },
    });
    requests.chooseExchangeRelay("a")?.({} as never, {} as never);
    expect(used).toEqual(["stopping"]);
    expect(dialled).toEqual(["ready"]);
  });

  it("dials none while a ready one is linked", () => {
    const { requests, dialled } = createRequests({
      linked: { state: "ready", isLinked: true },
      other: { state: "ready", isLinked: false },
    });
    requests.chooseExchangeRelay("a");
    expect(dialled).toEqual([]);
  });
});

/** Creates requests to siblings that reach upstreams and turn stores. */
function createRequests(siblings: Record<string, Sibling>) {
  const used: string[] = [];
  const dialled: string[] = [];
  const hosts = Object.keys(siblings);
  const linkTo = (host: string) => ({
    open: () => used.push(host),
    request: () => Promise.resolve(used.push(host)),
  });
  const links = {
    openHosts: () => hosts.filter((it) => siblings[it]?.isLinked),
    open: (host: string) => siblings[host]?.isLinked ? linkTo(host) : undefined,
    reach(host: string) {
      dialled.push(host);
      return Promise.resolve(linkTo(host));
    },
  };
  const fleet = {
    front: (host: string) => ({
      dataCentre: siblings[host]?.dataCentre ?? "a",
    }),
  };
  const requests = new SiblingRequests({
    self: "self",
    dataCentre: "a",
    fleet: fleet as unknown as Fleet,
    links: links as unknown as SiblingLinks,
    gossip: {
      connectedHosts: new Set(hosts),
      stateOf: (host) => reportOf(siblings[host]),
    },
    log: createNoopLoggers()("sibling"),
  });
  return { requests, used, dialled };
}

function reportOf(sibling: Sibling | undefined): FrontReport | undefined {
  return sibling && {
    state: sibling.state,
    reachesTurnStores: true,
    reachesUpstreams: true,
    reachesStore: true,
  };
}
