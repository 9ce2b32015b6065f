/**
 * Client of the platform's list of live and leaving hosts. The list lags.
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
  /** For an entry host: `host:port` of its server for siblings. */
  siblingAddress: z.string().optional(),
});

const listSchema = z.object({ hosts: z.array(entrySchema) });

/** One host of the list. */
export type HostEntry = z.infer<typeof entrySchema>;

/** Reads the platform's host list. */
export interface HostList {
  /** @throws {UnavailableError} when the list cannot be read */
  read(): Promise<HostEntry[]>;
}

/** Creates a client of the host list at `url`. */
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
      } catch {
        throw new UnavailableError("the host list cannot be read");
      }
    },
  };
}
