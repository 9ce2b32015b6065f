import { ByteCollector } from "@toucantrestle/memory";
import type { Timer } from "@toucantrestle/timer";
import type { Channel } from "./channel.ts";
import type { ChannelFailure, ResponseHead } from "./exchange.ts";
import type { ProcessAnswer, ProcessQuestion } from "./process_identity.ts";

/** Result of a question: an answer, or the failure of the connection. */
export type QuestionResult = ProcessAnswer | {
  kind: "failure";
  failure: ChannelFailure;
};

/** A process that doesn't answer within this time isn't waited for. */
const QUESTION_TIMEOUT_MS = 500;
/** Longest answer that counts, in bytes. */
const MAX_ANSWER_BYTES = 262_144;

/**
 * Asks the process at the other end of a connection for its name. Returns how
 * to end this, which closes the connection.
 */
export function askProcess(
  channel: Channel,
  { question, timer, onResult }: {
    question: ProcessQuestion;
    timer: Timer;
    onResult: (result: QuestionResult) => void;
  },
): () => void {
  const req = question.createRequest();
  const body = new ByteCollector({ maxBytes: MAX_ANSWER_BYTES });
  let head: ResponseHead | undefined;
  let isGivenUp = false;
  let timeout = timer.after(QUESTION_TIMEOUT_MS, onTimeout);

  /** A connection that is not established yet has a timeout of its own. */
  function onTimeout(): void {
    if (channel.isConnected) giveUp();
    else timeout = timer.after(QUESTION_TIMEOUT_MS, onTimeout);
  }

  function giveUp(): void {
    isGivenUp = true;
    channel.cancel(req.id);
  }

  function settle(result: QuestionResult): void {
    timeout.cancel();
    onResult(result);
  }

  channel.send(req, {
    onHead(received) {
      head = received;
    },
    onData(chunk) {
      if (!body.push(chunk)) giveUp();
    },
    onEnd() {
      const answer = head && question.parse(head, body.take());
      settle(answer ?? { kind: "unknown" });
    },
    onFailure(failure) {
      settle(isGivenUp ? { kind: "unknown" } : { kind: "failure", failure });
    },
  });
  return () => channel.cancel(req.id);
}
