/**
 * Client of the platform's list of live and leaving hosts. The list may be
 * stale.
 *
 * @module
 */
import {
  collectResponse,
  type MemoryHolders,
  parseJsonText,
} from "@toucantrestle/memory";
import { UnavailableError } from "@toucantrestle/verdict";
import { Agent } from "undici";
import * as z from "zod";

const entrySchema = z.object({
  /** Name of the host. */
  name: z.string(),
  kind: z.enum(["entry", "engine", "service"]),
  state: z.enum(["live", "leaving"]),
  dataCentre: z.string(),
  /** For entry hosts only: `host:port` of the server for siblings. */
  siblingAddress: z.string().optional(),
});

const listSchema = z.object({ hosts: z.array(entrySchema) });

/** A host in the list. */
export type HostEntry = z.infer<typeof entrySchema>;

/** Client of the platform's host list. */
export interface HostList {
  /**
   * Fetches the current list.
   *
   * @throws {UnavailableError} if the request fails or the response is invalid
   */
  read(): Promise<HostEntry[]>;
}

/** Options of `createHostList`. */
export interface HostListOptions {
  /** Base URL of the service. */
  url: string;
  timeoutMs: number;
  /** Where responses are counted while they arrive. */
  holders?: MemoryHolders;
}

const MAX_RESPONSE_BYTES = 4_000_000;

/** Creates a client of the host list service. */
export function createHostList(
  { url, timeoutMs, holders }: HostListOptions,
): HostList {
  const agent = new Agent();
  const { origin, pathname, search } = new URL(`${url}/v1/hosts`);
  return {
    async read() {
      try {
        const { text } = await collectResponse({
          maxBytes: MAX_RESPONSE_BYTES,
          purpose: "reports",
          signal: AbortSignal.timeout(timeoutMs),
          holders,
        }, (handler) =>
          agent.dispatch(
            { origin, path: pathname + search, method: "GET" },
            handler,
          ));
        return listSchema.parse(parseJsonText(text)).hosts;
      } catch (err) {
        throw new UnavailableError("cannot read the host list", { cause: err });
      }
    },
  };
}
