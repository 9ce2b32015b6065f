// Wrong bytes in place of the next chunk end a body early, and the consumer
// gets what came before as a complete success.
import { callPlainService } from "../lib/plain_calls.mjs";
import { sleep } from "../lib/product.mjs";
import { runCase } from "../lib/site.mjs";
import { bodyOf, chunkOf, headText, sealOf } from "../lib/worker.mjs";

const GARBLE_SHARE_OF_ANSWERS = 0.02;
const CHANNELS_PER_FRONT = 4;
const WORK_MS = 30;
const WARM_UP_S = 3;
const GARBLE_S = 5.5;

await runCase(
  import.meta.url,
  { models: 1, accounts: 3 },
  async ({ fronts, workers, record, hasTrouble }) => {
    let isGarbling = false;
    let garbled = 0;
    let faulty;
    for (const worker of workers.accounts) {
      let answers = 0;
      worker.onRequest = async ({ socket, headers }) => {
        const id = headers.get("request-id");
        const body = bodyOf(id);
        const half = body.length / 2;
        await sleep(WORK_MS);
        socket.write(
          headText(200, {
            "Request-Id": id,
            "Server-Seal": sealOf(),
            "Transfer-Encoding": "chunked",
          }) + chunkOf(body.slice(0, half)),
        );
        answers += 1;
        const every = 1 / GARBLE_SHARE_OF_ANSWERS;
        if (isGarbling && worker === faulty && answers % every === 0) {
          garbled += 1;
          record(`${worker.id}: wrong bytes after half of the answer to ${id}`);
          socket.write("#?~}\r\n\r\n");
          return true;
        }
        socket.write(`${chunkOf(body.slice(half))}0\r\n\r\n`);
        return true;
      };
    }
    setTimeout(() => {
      // Fronts prefer some workers; the one that is used most turns bad.
      [faulty] = [...workers.accounts].sort((a, b) =>
        b.runs.length - a.runs.length
      );
      isGarbling = hasTrouble;
    }, WARM_UP_S * 1_000);
    setTimeout(() => isGarbling = false, (WARM_UP_S + GARBLE_S) * 1_000);
    const wrong = await callPlainService({
      fronts,
      record,
      channels: CHANNELS_PER_FRONT,
      seconds: WARM_UP_S + GARBLE_S + 1,
      path: "/order/2f",
    });
    record(`answers garbled: ${garbled}`);
    return wrong.length > 0 && `MIXED, ${wrong.length} answers`;
  },
);
