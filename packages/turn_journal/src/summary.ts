import { decodeFrames, encodeFrame, type FrameMetadata } from "./frame.ts";

/** Frames up to this size are stored in the summary itself. */
const MAX_INLINE_FRAME_BYTES = 1_024;
/** Estimated encoded size of the location of a large frame. */
const LOCATION_BYTES = 100;
/** Metadata of the single frame in a summary file. */
const METADATA: FrameMetadata = { key: "summary", expiresAt: 0 };

/** Location of a frame in its segment file. */
export interface FrameLocation extends FrameMetadata {
  /** Byte offset of the frame in the segment. */
  at: number;
  /** Length of the frame in bytes. */
  length: number;
}

/** Index of a closed segment, which spares a load from reading the segment. */
export interface SegmentSummary {
  /** Size of the segment that the summary covers, in bytes. */
  segmentBytes: number;
  /** Concatenated copies of the small frames. */
  small: Buffer;
  /** Locations of all other frames. */
  large: FrameLocation[];
}

/** Builds the summary of the segment that is being written. */
export class SummaryBuilder {
  readonly #inlineFrames: Buffer[] = [];
  readonly #locations: FrameLocation[] = [];
  #segmentBytes = 0;
  #inlineBytes = 0;

  /** Estimated size of the summary on disk, in bytes. */
  get estimatedBytes(): number {
    return this.#inlineBytes + LOCATION_BYTES * this.#locations.length;
  }

  /** Adds the next frame of the segment; frames are added in write order. */
  add(metadata: FrameMetadata, frame: Buffer): void {
    if (frame.length <= MAX_INLINE_FRAME_BYTES) {
      this.#inlineFrames.push(frame);
      this.#inlineBytes += frame.length;
    } else {
      this.#locations.push({
        ...metadata,
        at: this.#segmentBytes,
        length: frame.length,
      });
    }
    this.#segmentBytes += frame.length;
  }

  /** Encodes the summary as the content of its file. */
  encode(): Buffer {
    const summary: SegmentSummary = {
      segmentBytes: this.#segmentBytes,
      small: Buffer.concat(this.#inlineFrames),
      large: this.#locations,
    };
    return encodeFrame(METADATA, summary);
  }
}

/** Decodes a summary. Returns undefined if it is corrupt or truncated. */
export function decodeSummary(bytes: Buffer): SegmentSummary | undefined {
  const { frames, isDamaged } = decodeFrames<SegmentSummary>(bytes);
  const [frame] = frames;
  if (isDamaged || !frame || frame.key !== METADATA.key) return undefined;
  return frame.read();
}
