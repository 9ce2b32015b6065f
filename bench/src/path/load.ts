import { build, type Histogram } from "hdr-histogram-js";
import { Agent, request } from "undici";

/** Parameters of a load run. */
export interface LoadSpec {
  /** Addresses that receive calls in round-robin order. */
  addresses: string[];
  callsPerS: number;
  seconds: number;
  tokensPerCall: number;
  /** API key of a caller; undefined when calls go directly to an engine. */
  callerKey: string | undefined;
}

/** Measurements of a load run. The histograms record microseconds. */
export interface LoadResult {
  latency: Histogram;
  firstToken: Histogram;
  calls: number;
  failed: number;
  tokens: number;
  seconds: number;
}

/** A program with no call in flight. */
interface IdleProgram {
  id: string;
  step: number;
}

const STEPS_PER_PROGRAM = 5;
const MICROS_PER_MS = 1_000;
const MS_PER_S = 1_000;

/** Open-loop load generator: the call rate doesn't depend on the responses. */
export class OpenLoopLoad {
  readonly #spec: LoadSpec;
  readonly #agent = new Agent({ connections: 512, pipelining: 1 });
  readonly #idlePrograms: IdleProgram[] = [];
  readonly #latency = build({ numberOfSignificantValueDigits: 3 });
  readonly #firstToken = build({ numberOfSignificantValueDigits: 3 });
  #calls = 0;
  #failed = 0;
  #tokens = 0;

  constructor(spec: LoadSpec) {
    this.#spec = spec;
  }

  /** Sends all calls and waits for their responses. */
  async run(): Promise<LoadResult> {
    const total = this.#spec.callsPerS * this.#spec.seconds;
    const intervalMs = MS_PER_S / this.#spec.callsPerS;
    const startedAt = performance.now();
    const running: Promise<void>[] = [];
    for (let sent = 0; sent < total;) {
      const due = Math.floor((performance.now() - startedAt) / intervalMs);
      while (sent <= due && sent < total) running.push(this.#runCall(sent++));
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

  async #runCall(index: number): Promise<void> {
    const { addresses, callerKey } = this.#spec;
    const address = addresses[index % addresses.length] as string;
    try {
      const program = callerKey === undefined
        ? undefined
        : await this.#acquireProgram(address);
      await this.#sendCall(address, program);
      this.#calls += 1;
      if (!program) return;
      program.step += 1;
      if (program.step <= STEPS_PER_PROGRAM) this.#idlePrograms.push(program);
    } catch {
      this.#failed += 1;
    }
  }

  /** Returns an idle program, or creates one if there is none. */
  async #acquireProgram(address: string): Promise<IdleProgram> {
    const idle = this.#idlePrograms.shift();
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

  async #sendCall(
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
    let isFirstChunk = true;
    for await (const chunk of res.body.setEncoding("latin1")) {
      if (isFirstChunk) recordMs(this.#firstToken, performance.now() - sentAt);
      isFirstChunk = false;
      this.#tokens += countContentEvents(chunk as string);
      tail = (tail + chunk).slice(-16);
    }
    if (res.statusCode !== 200 || !tail.includes("[DONE]")) {
      throw new Error(
        `call failed or stream ended before [DONE]: status ${res.statusCode}`,
      );
    }
    recordMs(this.#latency, performance.now() - sentAt);
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

function recordMs(histogram: Histogram, ms: number): void {
  histogram.recordValue(Math.max(1, Math.round(ms * MICROS_PER_MS)));
}

/** Returns a percentile of a microsecond histogram, in ms. */
export function percentileMs(histogram: Histogram, percentile: number): number {
  return histogram.getValueAtPercentile(percentile) / MICROS_PER_MS;
}

function countContentEvents(chunk: string): number {
  let count = 0;
  let position = chunk.indexOf('"content"');
  while (position !== -1) {
    count += 1;
    position = chunk.indexOf('"content"', position + 9);
  }
  return count;
}
