// One answer with a wrong byte in its head, among many sound ones, ends the
// process of a front and with it all requests that it serves.
import { KeptChannel } from "../lib/channels.mjs";
import { newId } from "../lib/consumer.mjs";
import { sleep } from "../lib/product.mjs";
import { HOST, runCase } from "../lib/site.mjs";
import { chunkOf, headText, sealOf } from "../lib/worker.mjs";

/** One of the three model workers hands out wrong bytes: a share of 0.33. */
const GARBLE_SHARE_OF_ANSWERS = 0.02;
const TURN_CHANNELS = 6;
const ORDER_CHANNELS = 10;
/** Calls of `comprobante` take 104 ms on average, up to 445 ms. */
const ORDER_MS = 250;
const GARBLE_S = 5.5;
const WARM_UP_S = 4;
/** A process that ended is started again after a short delay. */
const RESTART_MS = 500;
/** The rule allows three. */
const ALLOWED = 3;

await runCase(
  import.meta.url,
  { models: 3, accounts: 2 },
  async ({ fronts, workers, record, hasTrouble }) => {
    let isOver = false;
    let isGarbling = false;
    let answers = 0;
    const garbled = new Set();
    // A faulty worker sends bytes that are no response: a control byte in a head.
    const garble = (worker) => (req) => {
      if (!isGarbling) return false;
      answers += 1;
      if (answers % (1 / GARBLE_SHARE_OF_ANSWERS) !== 0) return false;
      const id = req.headers.get("request-id");
      garbled.add(id);
      record(`${worker.id}: hands out wrong bytes to ${id}`);
      req.socket.write(
        headText(200, {
          "Request-Id": id,
          "Server-Seal": sealOf(),
          "Content-Type": "text/event-stream",
          "Transfer-Encoding": "chunked",
          "Weight-Versions": "\x01",
        }) + chunkOf("id: 1\ndata: x\n\n"),
      );
      return true;
    };
    for (const it of workers.accounts) {
      it.onRequest = async () => {
        await sleep(ORDER_MS);
        return false;
      };
    }
    const lost = [];
    const counts = {};
    const talk = async (front, makeRequest) => {
      let channel = new KeptChannel(front.frontAddress);
      while (!isOver) {
        const result = await channel.send({
          host: HOST,
          method: "POST",
          ...makeRequest(),
        });
        counts[result.outcome] = (counts[result.outcome] ?? 0) + 1;
        if (result.outcome !== "answered") {
          const run = [...workers.models, ...workers.accounts].flatMap((it) =>
            it.runs
          ).find((it) => it.id === result.id);
          const isSound = run !== undefined && !garbled.has(result.id);
          record(
            `consumer: ${result.id} at ${front.name}, channel ${result.outcome}, ${
              run ? "run by a worker" : "not run"
            }`,
          );
          if (isSound && result.isReused && result.outcome !== "refused") {
            lost
              .push(result.id);
          }
          channel.close();
          channel = new KeptChannel(front.frontAddress);
          await sleep(250);
        }
      }
      channel.close();
    };
    // The platform starts a process again that has ended.
    const restart = async (front) => {
      while (!isOver) {
        await sleep(50);
        if (front.child || isOver) continue;
        await sleep(RESTART_MS);
        if (!isOver) front.start({ bootstrap: false });
      }
    };
    const tasks = [];
    for (const front of fronts) {
      tasks.push(restart(front));
      for (let i = 0; i < TURN_CHANNELS / 2; i++) {
        tasks.push(talk(front, () => ({
          path: "/kept/2f",
          body: "what is my balance",
          headers: {
            "token-count": "100,80",
            "deadline-ms": "5000",
            "program-id": newId(),
            "session-id": newId(),
            "token-budget": "2000",
          },
        })));
      }
      for (let i = 0; i < ORDER_CHANNELS / 2; i++) {
        tasks.push(
          talk(
            front,
            () => ({
              path: "/order/2f",
              body: "{}",
              headers: { "deadline-ms": "2500" },
            }),
          ),
        );
      }
    }
    await sleep(WARM_UP_S * 1_000);
    // Fronts prefer some workers; the one that is used most turns bad.
    const [worst] = [...workers.models].sort((a, b) =>
      b.runs.length - a.runs.length
    );
    worst.onRequest = garble(worst);
    isGarbling = hasTrouble;
    await sleep(GARBLE_S * 1_000);
    isGarbling = false;
    await sleep(1_000);
    isOver = true;
    await Promise.race([Promise.all(tasks), sleep(6_000)]);
    const ownEnds = fronts.map((it) => `${it.name} ${it.ownEnds.length}`).join(
      ", ",
    );
    record(
      `outcomes ${
        JSON.stringify(counts)
      }, answers garbled ${garbled.size}, processes that ended by themselves: ${ownEnds}`,
    );
    record(
      `requests from kept channels, passed on to a sound worker, whose channel was closed without an answer: ${lost.length} (allowed ${ALLOWED})`,
    );
    for (const it of fronts) {
      const error = /^\S*Error.*$/m.exec(it.log())?.[0];
      if (error) record(`${it.name} wrote: ${error}`);
    }
    return lost.length > ALLOWED && `LOST, ${lost.length} requests`;
  },
);
