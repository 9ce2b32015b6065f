import { expect } from "earl";
import type { Socket } from "node:net";
import { after, before, describe, it } from "node:test";
import { setTimeout as delay } from "node:timers/promises";
import { PathFault } from "./path_fault.ts";
import {
  type CallResult,
  type ReceivedRequest,
  TestCluster,
} from "./test_cluster.ts";

/** A reset arrives together with the last bytes. */
const ENDINGS = ["close", "reset"] as const;
const PLAIN_BODY = "0123456789";
const STREAM = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n";
const TURN_HEADERS = {
  "x-program": "p",
  "x-budget": "1000000",
  "x-prompt-tokens": "10",
  "x-max-output": "5",
};
const BODIES: Record<string, string> = {
  "/plain/": PLAIN_BODY,
  "/once/": PLAIN_BODY,
  "/events/": STREAM,
  "/again/": STREAM,
  "/kept/": STREAM,
};
/** Whole responses by how the end of their body is marked. */
const FRAMINGS: Record<string, (body: string) => string> = {
  "a length": (body) => `content-length: ${body.length}\r\n\r\n${body}`,
  "chunks": (body) =>
    "connection: close\r\ntransfer-encoding: chunked\r\n\r\n" +
    `${body.length.toString(16)}\r\n${body}\r\n0\r\n\r\n`,
  "its connection": (body) => `\r\n${body}`,
};
const STREAM_STEP_BYTES = 5;
const CUT_DETECTION_MS = 3_000;
const RETRY_MS = 20;
/** Calls that are in progress at the same time. */
const CONCURRENCY = 6;
const TIMEOUT_MS = 90_000;

interface Plan {
  framing: (body: string) => string;
  /** Number of bytes that are sent. */
  bytes: number;
  ending: typeof ENDINGS[number];
  /** Whether only the first upstream cuts its responses. */
  isOtherSound: boolean;
}

const cluster = new TestCluster();
/** What is sent in response to a request, by its id; all of it if missing. */
const plans = new Map<string, Plan>();
/** Ids of the requests that got a response that was cut. */
const cutIds = new Set<string>();
let nextId = 0;

function wholeResponse(
  { id, path }: ReceivedRequest,
  framing = FRAMINGS["a length"],
): string {
  const head = `HTTP/1.1 200 OK\r\nx-id: ${id}\r\nx-mark: u\r\n`;
  return head + framing?.(BODIES[path] ?? "");
}

function serve(
  upstream: string,
  received: ReceivedRequest,
  socket: Socket,
): void {
  const plan = plans.get(received.id);
  if (!plan || (plan.isOtherSound && upstream !== "u1")) {
    socket.write(wholeResponse(received));
    return;
  }
  cutIds.add(received.id);
  const response = wholeResponse(received, plan.framing);
  socket.write(response.slice(0, plan.bytes));
  if (plan.ending === "close") socket.end();
  else socket.resetAndDestroy();
}

before(async () => {
  cluster.configure([
    { prefix: "/plain/" },
    { prefix: "/once/", kind: "non_idempotent", maxRuns: 1 },
    { prefix: "/events/", kind: "streaming", maxRuns: 1 },
    { prefix: "/again/", kind: "streaming", isResumable: true },
    { prefix: "/kept/", kind: "streaming", keepsTurns: true, maxRuns: 1 },
  ]);
  await cluster.addTurnStores(3);
  for (const id of ["u1", "u2"]) {
    await cluster.addUpstream(
      id,
      (received, res) => serve(id, received, res.req.socket),
    );
  }
  const path = new PathFault();
  await cluster.addFront();
  await cluster.addFront({ dial: path.dial });
  await cluster.waitUntilReady("/kept/", TURN_HEADERS);
  path.cut("hang");
  await settleCut();
});

after(() => cluster.close());

/** Calls the second front until it has noticed that it reaches no upstream. */
async function settleCut(): Promise<void> {
  const end = performance.now() + CUT_DETECTION_MS;
  while (performance.now() < end) {
    call("/plain/", 1, `w${nextId++}`).catch(() => {});
    await delay(100);
  }
}

function call(path: string, front: number, id: string): Promise<CallResult> {
  const headers = { ...TURN_HEADERS, "x-id": id };
  return cluster.call(path, { front, headers });
}

/** A call whose response is cut; again while it is refused as not run. */
async function callWithPlan(
  path: string,
  front: number,
  plan: Plan,
): Promise<CallResult | undefined> {
  while (true) {
    const id = `c${nextId++}`;
    plans.set(id, plan);
    const result = await call(path, front, id).catch(() => undefined);
    plans.delete(id);
    const isRefused = result?.status === 503 && !cutIds.has(id);
    if (!isRefused) return result;
    await delay(RETRY_MS);
  }
}

/** Cuts that look like a success to the caller, with the body it got. */
async function successfulCuts(
  path: string,
  front: number,
  opts: Omit<Plan, "bytes">,
): Promise<{ bytes: number; body: string }[]> {
  const received = { id: `c${nextId}`, path, body: "", headers: {} };
  const length = wholeResponse(received, opts.framing).length;
  const found: { bytes: number; body: string }[] = [];
  // The connections' own test cuts at each byte; streams take longer here.
  const step = BODIES[path] === STREAM ? STREAM_STEP_BYTES : 1;
  let next = 0;
  const run = async () => {
    while (next < length) {
      const bytes = next;
      next += step;
      const plan = { ...opts, bytes };
      const result = await callWithPlan(path, front, plan);
      const isSuccess = result && result.status < 300 && result.isComplete;
      if (isSuccess) found.push({ bytes, body: result.body });
    }
  };
  await Promise.all(Array.from({ length: CONCURRENCY }, run));
  return found;
}

const WAYS = [
  { way: "direct", front: 0, paths: Object.keys(BODIES) },
  // Streams of a sibling wait for backoffs; resumable and kept ones take long.
  {
    way: "through a sibling",
    front: 1,
    paths: ["/plain/", "/once/", "/events/"],
  },
];

// Guards against a part of a response that a caller takes for a whole one, of
// an upstream that stops in the middle of its head or body (MIXED, ORDER).
for (const { way, front, paths } of WAYS) {
  describe(`a response that is cut at any byte (${way})`, () => {
    for (const path of paths) {
      for (const [mark, framing] of Object.entries(FRAMINGS)) {
        for (const ending of ENDINGS) {
          it(`is no success (${path}, ${mark}, ${ending})`, {
            timeout: TIMEOUT_MS,
          }, async () => {
            const cuts = await successfulCuts(path, front, {
              framing,
              ending,
              isOtherSound: false,
            });
            // The end of the connection is all that marks the end of a plain
            // body without a length, and of a stream after a whole event.
            const isMarked = mark !== "its connection" || ending === "reset";
            const wrong = isMarked
              ? cuts
              : cuts.filter((it) => !isPossibleEnd(path, it.body));
            expect(wrong).toEqual([]);
          });
        }
      }
    }

    for (
      const path of ["/plain/", "/again/"].filter((it) => paths.includes(it))
    ) {
      it(`is followed by a whole one of another upstream (${path})`, {
        timeout: TIMEOUT_MS,
      }, async () => {
        for (const ending of ENDINGS) {
          const framing = FRAMINGS["a length"] as Plan["framing"];
          const cuts = await successfulCuts(path, front, {
            framing,
            ending,
            isOtherSound: true,
          });
          const bodies = new Set(cuts.map((it) => it.body));
          expect([...bodies]).toEqual([BODIES[path] as string]);
        }
      });
    }
  });
}

/** Whether a body without a length or chunks may end like this. */
function isPossibleEnd(path: string, body: string): boolean {
  if (BODIES[path] === PLAIN_BODY) return PLAIN_BODY.startsWith(body);
  return body !== "" && body.endsWith("\n\n") && STREAM.startsWith(body);
}
