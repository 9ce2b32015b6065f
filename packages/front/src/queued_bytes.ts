import type { ServerResponse } from "node:http";

/** Memory of an entry of a queue beside its bytes. */
const ENTRY_OVERHEAD_BYTES = 256;

/** What the runtime keeps of a queue; not part of its documented interface. */
interface Queues {
  outputData?: readonly unknown[];
  socket: {
    _writableState?: { buffered?: readonly unknown[] };
  } | null;
}

/** Returns the memory of what a caller has not taken of a response, in bytes. */
export function queuedBytes(res: ServerResponse): number {
  const bytes = res.writableLength;
  return bytes === 0 ? 0 : bytes + entryCount(res) * ENTRY_OVERHEAD_BYTES;
}

function entryCount(res: ServerResponse): number {
  const { outputData, socket } = res as unknown as Queues;
  return (outputData?.length ?? 0) +
    (socket?._writableState?.buffered?.length ?? 0);
}
