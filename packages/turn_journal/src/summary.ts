import { decodeFrames, encodeFrame, type FrameLabel } from "./frame.ts";

/** Frames up to this size stand in a summary themselves, in bytes. */
const SMALL_FRAME_BYTES = 1_024;
/** What the place of a large frame takes, in bytes. */
const PLACE_BYTES = 100;
const LABEL: FrameLabel = { key: "summary", expiresAt: 0 };

/** Where a frame stands in its segment. */
export interface FramePlace extends FrameLabel {
  /** First byte of the frame. */
  at: number;
  /** Bytes of the frame. */
  length: number;
}

/** What a segment holds, for a load that does not read all of it. */
export interface Summary {
  /** Bytes of the segment that are covered. */
  segmentBytes: number;
  /** Small frames as they are, one after the other. */
  small: Buffer;
  /** Where the other frames stand. */
  large: FramePlace[];
}

/** Collects the summary of the segment that is being written. */
export class SummaryBuilder {
  readonly #small: Buffer[] = [];
  readonly #large: FramePlace[] = [];
  #bytes = 0;
  #smallBytes = 0;

  /** Bytes that the summary takes on the disk, about. */
  get bytes(): number {
    return this.#smallBytes + PLACE_BYTES * this.#large.length;
  }

  /** Notes a frame that follows those noted before. */
  add(label: FrameLabel, frame: Buffer): void {
    if (frame.length <= SMALL_FRAME_BYTES) {
      this.#small.push(frame);
      this.#smallBytes += frame.length;
    } else {
      this.#large.push({ ...label, at: this.#bytes, length: frame.length });
    }
    this.#bytes += frame.length;
  }

  /** The summary as it is written to a file. */
  encode(): Buffer {
    const summary: Summary = {
      segmentBytes: this.#bytes,
      small: Buffer.concat(this.#small),
      large: this.#large,
    };
    return encodeFrame(LABEL, summary);
  }
}

/** Reads a summary; undefined where it is not whole or is of other bytes. */
export function decodeSummary(
  bytes: Buffer,
  segmentBytes: number,
): Summary | undefined {
  const { frames, isDamaged } = decodeFrames<Summary>(bytes);
  const [frame] = frames;
  if (isDamaged || !frame || frame.key !== LABEL.key) return undefined;
  const summary = frame.read();
  return summary.segmentBytes === segmentBytes ? summary : undefined;
}
