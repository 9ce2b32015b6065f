import { build, type Histogram } from "hdr-histogram-js";
import { Agent, request } from "undici";

/** How calls are sent. */
export interface LoadSpec {
  /** Addresses to which calls go in turn. */
  addresses: string[];
  callsPerS: number;
  seconds: number;
  tokensPerCall: number;
  /** Key of a caller; undefined to send to an engine itself. */
  callerKey: string | undefined;
}

/** What was measured. Times in ms. */
export interface LoadResult {
  latency: Histogram;
  firstToken: Histogram;
  calls: number;
  failed: number;
  tokens: number;
  seconds: number;
}

interface IdleProgram {
  id: string;
  step: number;
}

const STEPS_PER_PROGRAM = 5;
const MICROS_PER_MS = 1_000;
const MS_PER_S = 1_000;

/** Sends calls at a fixed rate, whether or not answers come. */
export class OpenLoad {
  readonly #spec: LoadSpec;
  readonly #agent = new Agent({ connections: 512, pipelining: 1 });
  readonly #idle: IdleProgram[] = [];
  readonly #latency = build({ numberOfSignificantValueDigits: 3 });
  readonly #firstToken = build({ numberOfSignificantValueDigits: 3 });
  #calls = 0;
  #failed = 0;
  #tokens = 0;

  constructor(spec: LoadSpec) {
    this.#spec = spec;
  }

  async run(): Promise<LoadResult> {
    const total = this.#spec.callsPerS * this.#spec.seconds;
    const intervalMs = MS_PER_S / this.#spec.callsPerS;
    const startedAt = performance.now();
    const running: Promise<void>[] = [];
    for (let sent = 0; sent < total;) {
      const due = Math.floor((performance.now() - startedAt) / intervalMs);
      while (sent <= due && sent < total) running.push(this.#runOne(sent++));
      await new Promise((resolve) => setTimeout(resolve, 1));
    }
    await Promise.all(running);
    const seconds = (performance.now() - startedAt) / MS_PER_S;
    await this.#agent.destroy();
    return {
      latency: this.#latency,
      firstToken: this.#firstToken,
      calls: this.#calls,
      failed: this.#failed,
      tokens: this.#tokens,
      seconds,
    };
  }

  async #runOne(index: number): Promise<void> {
    const { addresses, callerKey } = this.#spec;
    const address = addresses[index % addresses.length] as string;
    try {
      const program = callerKey === undefined
        ? undefined
        : await this.#takeProgram(address);
      await this.#call(address, program);
      this.#calls += 1;
      if (!program) return;
      program.step += 1;
      if (program.step <= STEPS_PER_PROGRAM) this.#idle.push(program);
    } catch {
      this.#failed += 1;
    }
  }

  async #takeProgram(address: string): Promise<IdleProgram> {
    const idle = this.#idle.shift();
    if (idle) return idle;
    const res = await request(`http://${address}/v1/programs`, {
      method: "POST",
      headers: this.#headers(undefined),
      body: "{}",
      dispatcher: this.#agent,
    });
    const { program } = await res.body.json() as { program: string };
    return { id: program, step: 1 };
  }

  async #call(
    address: string,
    program: IdleProgram | undefined,
  ): Promise<void> {
    const content = `step #tokens=${this.#spec.tokensPerCall}`;
    const sentAt = performance.now();
    const res = await request(`http://${address}/v1/chat/completions`, {
      method: "POST",
      headers: this.#headers(program),
      body: JSON.stringify({
        model: "small",
        messages: [{ role: "user", content }],
        stream: true,
        max_tokens: this.#spec.tokensPerCall,
      }),
      dispatcher: this.#agent,
    });
    let tail = "";
    let isFirst = true;
    for await (const piece of res.body.setEncoding("latin1")) {
      if (isFirst) record(this.#firstToken, performance.now() - sentAt);
      isFirst = false;
      this.#tokens += countEvents(piece as string);
      tail = (tail + piece).slice(-16);
    }
    if (res.statusCode !== 200 || !tail.includes("[DONE]")) {
      throw new Error(`the answer ended early with ${res.statusCode}`);
    }
    record(this.#latency, performance.now() - sentAt);
  }

  #headers(program: IdleProgram | undefined): Record<string, string> {
    const headers: Record<string, string> = {
      "content-type": "application/json",
    };
    const { callerKey } = this.#spec;
    if (callerKey !== undefined) {
      headers["authorization"] = `Bearer ${callerKey}`;
    }
    if (program) {
      headers["x-program"] = program.id;
      headers["x-step"] = String(program.step);
    }
    return headers;
  }
}

function record(histogram: Histogram, ms: number): void {
  histogram.recordValue(Math.max(1, Math.round(ms * MICROS_PER_MS)));
}

/** Percentile of a histogram in ms. */
export function percentileMs(histogram: Histogram, percentile: number): number {
  return histogram.getValueAtPercentile(percentile) / MICROS_PER_MS;
}

function countEvents(piece: string): number {
  let count = 0;
  let at = piece.indexOf('"content"');
  while (at !== -1) {
    count += 1;
    at = piece.indexOf('"content"', at + 9);
  }
  return count;
}
