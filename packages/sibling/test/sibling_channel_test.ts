import { MemoryHolders } from "@toucantrestle/memory";
import { expect } from "earl";
import { EventEmitter } from "node:events";
import { describe, it } from "node:test";
import type { WebSocket } from "ws";
import type { SiblingMessage } from "../src/messages.ts";
import { SiblingChannel } from "../src/sibling_channel.ts";

const LARGE_TEXT = "x".repeat(1_000_000);
const MAX_UNREAD_BYTES = 64_000_000;
const MESSAGE_COUNT = 200;

/** A socket whose other side reads nothing. */
class StuckSocket extends EventEmitter {
  readonly OPEN = 1;
  readyState = 1;
  bufferedAmount = 0;

  send(bytes: Uint8Array): void {
    this.bufferedAmount += bytes.length;
  }

  terminate(): void {
    this.readyState = 3;
    this.emit("close");
  }
}

function createChannel() {
  const socket = new StuckSocket();
  const holders = new MemoryHolders();
  const channel = new SiblingChannel({
    socket: socket as unknown as WebSocket,
    isCut: () => false,
    onMessage() {},
    onUnusable() {},
    onSent() {},
    onClose() {},
    holders,
  });
  return { channel, socket, holders };
}

describe("link to a sibling that reads nothing", () => {
  const messages: Record<string, SiblingMessage> = {
    "parts of responses": { t: "call_data", id: 1, text: LARGE_TEXT },
    "results": {
      t: "rpc_result",
      id: 1,
      result: LARGE_TEXT,
    } as unknown as SiblingMessage,
  };
  for (const [name, message] of Object.entries(messages)) {
    // Guards against messages that are kept without a bound.
    it(`is closed once too much is unsent: ${name}`, () => {
      const { channel, socket, holders } = createChannel();
      let mostKept = 0;
      for (let i = 0; i < MESSAGE_COUNT; i++) {
        channel.send(message);
        const kept = holders.bytesByPurpose().link_messages;
        mostKept = Math.max(mostKept, kept);
      }
      expect(socket.readyState).toEqual(3);
      expect(mostKept).toBeLessThan(MAX_UNREAD_BYTES + 2 * LARGE_TEXT.length);
      expect(holders.count).toEqual(0);
    });
  }

  it("is closed if it is cut for lack of memory", () => {
    const { socket, holders } = createChannel();
    for (const it of holders) it.cut?.();
    expect(socket.readyState).toEqual(3);
  });
});
