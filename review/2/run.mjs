// A program that was stopped because its budget is spent gets most of the
// budget once more after the processes of the stores were started again.
import { newId, send } from "../lib/consumer.mjs";
import { sleep } from "../lib/product.mjs";
import { CONFIG, HOST, runCase } from "../lib/site.mjs";

const BUDGET = 1_088;
const TURN_TOKENS = 136;
const TOKENS_PER_EVENT = 8;
const EVENTS = TURN_TOKENS / TOKENS_PER_EVENT;
const FIRST_TURNS = 7;
/** Times from the first turn of the program, in s. */
const LAST_TURN_S = 30;
const KILL_S = 82;
const BACK_AFTER_S = 1;
const RETURN_S = 86;

await runCase(
  import.meta.url,
  {},
  async ({ fronts, turnStores, workers, record, hasTrouble }) => {
    for (const it of workers.models) {
      it.onRequest = async (req) => {
        await it.answer(req, { events: EVENTS, eventMs: 12 });
        return true;
      };
    }
    const program = newId();
    const session = newId();
    const startedAt = performance.now();
    const until = (s) => sleep(startedAt + s * 1_000 - performance.now());
    let previous;
    let tokens = 0;
    let tries = 0;
    const turn = async () => {
      const front = fronts[tries++ % fronts.length];
      const answer = await send(front.frontAddress, {
        method: "POST",
        path: "/kept/4b",
        host: HOST,
        body: `input ${tries}. `,
        headers: {
          "program-id": program,
          "session-id": session,
          "finish-ms": "90000",
          "token-budget": String(BUDGET),
          "token-count": `1840,${TURN_TOKENS}`,
          "deadline-ms": "5000",
          ...(previous ? { "previous-turn": previous } : {}),
        },
      });
      const events = answer.body.split("\n\n").length - 1;
      const handed = answer.status === 200 ? events * TOKENS_PER_EVENT : 0;
      tokens += handed;
      if (answer.status === 200 && answer.isComplete) previous = answer.id;
      const s = ((performance.now() - startedAt) / 1_000).toFixed(1);
      record(
        `program, ${s} s: turn ${answer.id} at ${front.name}: status ${answer.status}, ${handed} tokens, ${tokens} so far of ${BUDGET}`,
      );
      return answer.status;
    };
    for (let i = 0; i < FIRST_TURNS; i++) await turn();
    // The program waits for its tools.
    await until(LAST_TURN_S);
    await turn();
    const stopped = await turn();
    if (stopped !== 402) {
      throw new Error(
        `the program was not stopped: ${stopped}`,
      );
    }
    await until(KILL_S);
    if (hasTrouble) {
      for (const it of turnStores) it.signal("SIGKILL");
      await sleep(BACK_AFTER_S * 900);
      for (const it of turnStores) it.start({ bootstrap: false });
    }
    // It returns within `retentionS` of its stop.
    await until(RETURN_S);
    const { retentionS } = CONFIG.routes[0];
    record(
      `the program returns ${
        RETURN_S - LAST_TURN_S
      } s after its stop (retentionS ${retentionS})`,
    );
    for (let i = 0; i < 20; i++) {
      const status = await turn();
      if (status === 402) break;
      if (status !== 200) await sleep(300);
    }
    const allowed = BUDGET + TURN_TOKENS;
    record(
      `tokens handed to the consumer: ${tokens}, allowed ${allowed} (budget and the most of one turn)`,
    );
    return tokens > allowed && `BUDGET, ${tokens} tokens of ${BUDGET}`;
  },
);
