import { Buffer } from "node:buffer";
import { setNewest } from "@toucantrestle/policy";

/**
 * Part of a prompt. Several sessions may share a part, except the last part of
 * a prompt, which belongs to one session.
 */
export interface PromptPart {
  id: string;
  tokens: number;
}

/** Maximum number of upstreams tracked for a part. */
const MAX_UPSTREAMS_PER_PART = 12;
/** Parts with longer ids are not tracked, in characters. */
const MAX_ID_LENGTH = 256;
/** Maximum number of tracked parts; the least recently recorded are evicted. */
const MAX_PARTS = 20_000;

/** A part and how much of it upstreams have probably cached. */
interface TrackedPart {
  /** Does not keep the text that the id was cut from. */
  id: string;
  /** Tokens by upstream, the least recently recorded first. */
  byUpstream: Map<string, number>;
}

/** Tracks which prompt parts each upstream has probably cached. */
export class PrefixIndex {
  /** By id of the part, the least recently recorded first. */
  readonly #parts = new Map<string, TrackedPart>();

  /** Records that an upstream has prefilled a prompt and cached its parts. */
  recordPrefill(upstream: string, parts: PromptPart[]): void {
    for (const { id, tokens } of parts) {
      if (id.length > MAX_ID_LENGTH) break;
      const part = this.#parts.get(id) ?? createPart(id);
      const { byUpstream } = part;
      setNewest(this.#parts, [part.id, part], MAX_PARTS);
      setNewest(byUpstream, [upstream, tokens], MAX_UPSTREAMS_PER_PART);
    }
  }

  /** Returns the number of prompt tokens that an upstream need not prefill. */
  cachedTokens(upstream: string, parts: PromptPart[]): number {
    let cached = 0;
    for (const { id, tokens } of parts) {
      const cachedPartTokens = this.#parts.get(id)?.byUpstream.get(upstream);
      if (cachedPartTokens === undefined) break;
      cached += Math.min(cachedPartTokens, tokens);
      if (cachedPartTokens < tokens) break;
    }
    return cached;
  }

  /** Removes an upstream that has exited or restarted. */
  removeUpstream(upstream: string): void {
    for (const it of this.#parts.values()) it.byUpstream.delete(upstream);
  }
}

/** An id that is part of a longer text, such as a header, would keep all of it. */
function createPart(id: string): TrackedPart {
  return { id: Buffer.from(id).toString(), byUpstream: new Map() };
}
