/**
 * Client of the platform's list of live and leaving hosts. The list may be
 * stale.
 *
 * @module
 */
import { UnavailableError } from "@toucantrestle/verdict";
import { request } from "undici";
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

/** Creates a client of the host list service with the base URL `url`. */
export function createHostList(
  opts: { url: string; timeoutMs: number },
): HostList {
  return {
    async read() {
      try {
        const res = await request(`${opts.url}/v1/hosts`, {
          signal: AbortSignal.timeout(opts.timeoutMs),
        });
        return listSchema.parse(await res.body.json()).hosts;
      } catch (err) {
        throw new UnavailableError("cannot read the host list", { cause: err });
      }
    },
  };
}
