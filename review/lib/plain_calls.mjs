// Consumers that call a plain service over kept channels, one call after the
// other, and compare each answer with what the worker sent.
import { KeptChannel } from "./channels.mjs";
import { sleep } from "./product.mjs";
import { HOST } from "./site.mjs";
import { bodyOf } from "./worker.mjs";

export async function callPlainService(
  { fronts, record, channels, seconds, path },
) {
  const wrong = [];
  const counts = {};
  let isOver = false;
  const talk = async (front) => {
    const channel = new KeptChannel(front.frontAddress);
    while (!isOver) {
      const { id, status, body, outcome } = await channel.send({
        host: HOST,
        method: "POST",
        path,
        body: "{}",
        headers: { "deadline-ms": "2500" },
      });
      const key = outcome === "answered" ? `status ${status}` : outcome;
      counts[key] = (counts[key] ?? 0) + 1;
      const isSuccess = outcome === "answered" && status >= 200 && status < 300;
      if (isSuccess && body !== bodyOf(id)) {
        wrong.push(id);
        record(
          `consumer: ${id} at ${front.name}: status ${status}, complete, ` +
            `${body.length} of ${bodyOf(id).length} bytes, begins ${
              JSON.stringify(body.slice(0, 24))
            }`,
        );
      } else if (status !== 200) {
        record(`consumer: ${id} at ${front.name}: ${key}`);
      }
    }
    channel.close();
  };
  const tasks = fronts.flatMap((front) =>
    Array.from({ length: channels }, () => talk(front))
  );
  await sleep(seconds * 1_000);
  isOver = true;
  await Promise.all(tasks);
  record(`outcomes ${JSON.stringify(counts)}, wrong answers ${wrong.length}`);
  return wrong;
}
