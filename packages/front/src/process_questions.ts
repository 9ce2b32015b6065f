import type { UpstreamEntry } from "@toucantrestle/routing";
import type {
  ProcessAnswer,
  ProcessQuestion,
  ResponseHead,
} from "@toucantrestle/upstream_channel";
import type { ProcessQuery } from "./protocol.ts";

const OK_STATUS = 200;
/** Statuses of an upstream that does not know a query. */
const NOT_FOUND_STATUSES = new Set([400, 404, 405, 501]);

let questionCount = 0;

/** Returns the questions that make the upstream of an entry name its process. */
export function createProcessQuestions(
  { id, address }: UpstreamEntry,
  queries: readonly ProcessQuery[],
): ProcessQuestion[] {
  return queries.map((query) => ({
    createRequest() {
      questionCount += 1;
      return {
        id: `process-${questionCount}`,
        mayLackId: true,
        method: "GET",
        path: query.path,
        headers: ["Host", address, ...query.formatHeaders(id)],
        body: new Uint8Array(),
      };
    },
    parse: (head, body) => parseAnswer(head, { body, query }),
  }));
}

function parseAnswer(
  { status }: ResponseHead,
  { body, query }: { body: Buffer; query: ProcessQuery },
): ProcessAnswer {
  if (NOT_FOUND_STATUSES.has(status)) return { kind: "none" };
  const parsed = status === OK_STATUS
    ? query.parse(body.toString())
    : undefined;
  if (!parsed) return { kind: "unknown" };
  const { name } = parsed;
  return name === undefined ? { kind: "none" } : { kind: "name", name };
}
