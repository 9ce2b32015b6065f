// Additional bytes after a complete response, which look like a response but
// name no request, are handed to the next consumer as the answer to its call.
import { sleep } from "../lib/product.mjs";
import { callPlainService } from "../lib/plain_calls.mjs";
import { runCase } from "../lib/site.mjs";
import { headText, sealOf } from "../lib/worker.mjs";

const EXTRA_SHARE_OF_ANSWERS = 0.03;
const CHANNELS_PER_FRONT = 4;
const WORK_MS = 30;
const WARM_UP_S = 3;
const GARBLE_S = 5;

await runCase(
  import.meta.url,
  { models: 1, accounts: 2 },
  async ({ fronts, workers, record, hasTrouble }) => {
    let isGarbling = false;
    let extras = 0;
    const [faulty] = workers.accounts;
    for (const worker of workers.accounts) {
      let answers = 0;
      const withExtra = new WeakSet();
      worker.onRequest = async (req) => {
        const { socket, headers } = req;
        if (withExtra.delete(socket)) {
          // The additional bytes of the answer before arrive late.
          extras += 1;
          record(
            `${worker.id}: extra bytes where the answer to ${
              headers.get("request-id")
            } is due`,
          );
          socket.write(
            headText(200, {
              "Server-Seal": sealOf(),
              "Content-Length": "18",
            }) + "of another request",
          );
        }
        await sleep(WORK_MS);
        answers += 1;
        const every = Math.ceil(1 / EXTRA_SHARE_OF_ANSWERS);
        const isBad = isGarbling && worker === faulty && answers % every === 0;
        if (isBad) withExtra.add(socket);
        return false;
      };
    }
    setTimeout(() => isGarbling = hasTrouble, WARM_UP_S * 1_000);
    setTimeout(() => isGarbling = false, (WARM_UP_S + GARBLE_S) * 1_000);
    const wrong = await callPlainService({
      fronts,
      record,
      channels: CHANNELS_PER_FRONT,
      seconds: WARM_UP_S + GARBLE_S + 1,
      path: "/order/2f",
    });
    record(`answers followed by additional bytes: ${extras}`);
    return wrong.length > 0 && `MIXED, ${wrong.length} answers`;
  },
);
