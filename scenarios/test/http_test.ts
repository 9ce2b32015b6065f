import { expect } from "earl";
import { after, before, describe, it } from "node:test";
import { createFleetSpec } from "../src/environment/table.ts";
import {
  CALLERS,
  TestEnvironment,
} from "../src/environment/test_environment.ts";

const MAX_BODY_MB = 1;

/** Body of an error response (application/problem+json). */
interface ProblemBody {
  status: number;
  detail: string;
  verdict: string;
}

/** A test environment and a key per caller, shared by all tests of this file. */
class HttpFixture {
  readonly env: TestEnvironment;
  keys = new Map<string, string>();

  constructor() {
    const spec = createFleetSpec({
      daemons: 3,
      dataCentres: 3,
      engines: 1,
      services: 1,
      tailCopies: 3,
      logFolder: "out/tests/http",
    });
    spec.daemonArgs?.push("--max-body-mb", String(MAX_BODY_MB));
    this.env = new TestEnvironment(spec);
  }

  async start(): Promise<void> {
    await this.env.start();
    for (const caller of CALLERS) {
      const key = await this.env.anyOperator().createKey(caller, "caller");
      this.keys.set(caller, key);
    }
    await new Promise((resolve) => setTimeout(resolve, 300));
  }

  address(host = "entry-1"): string {
    return `http://${this.env.daemon(host).address}`;
  }

  async call(
    path: string,
    opts: {
      caller?: string;
      key?: string;
      method?: string;
      body?: string;
      headers?: Record<string, string>;
      host?: string;
    },
  ): Promise<{ status: number; body: unknown }> {
    const key = opts.key ?? this.keys.get(opts.caller ?? "alice");
    const res = await fetch(this.address(opts.host) + path, {
      method: opts.method ?? "POST",
      headers: {
        authorization: `Bearer ${key}`,
        "content-type": "application/json",
        ...opts.headers,
      },
      ...(opts.body === undefined ? {} : { body: opts.body }),
    });
    return { status: res.status, body: await res.json() };
  }

  async startProgram(caller = "alice"): Promise<string> {
    const { body } = await this.call("/v1/programs", { caller, body: "{}" });
    return (body as { program: string }).program;
  }
}

function chat(
  content: string,
  overrides: Record<string, unknown> = {},
): string {
  return JSON.stringify({
    model: "small",
    messages: [{ role: "user", content }],
    ...overrides,
  });
}

describe("caller HTTP API", () => {
  const http = new HttpFixture();
  before(() => http.start());
  after(() => http.env.stop());

  async function expectProblem(
    response: Promise<{ status: number; body: unknown }>,
    status: number,
    detail: string,
  ): Promise<void> {
    const { body, status: actual } = await response;
    const problem = body as ProblemBody;
    expect([actual, problem.verdict]).toEqual([status, "not_run"]);
    expect(problem.detail).toInclude(detail);
  }

  it("rejects a body that is not valid JSON", async () => {
    await expectProblem(
      http.call("/v1/programs", { body: "{" }),
      400,
      "not valid JSON",
    );
  });

  it("rejects an invalid body and names the invalid field", async () => {
    await expectProblem(
      http.call("/v1/chat/completions", { body: '{"model":"small"}' }),
      400,
      "messages",
    );
  });

  it("rejects an unknown key and an empty key", async () => {
    const body = chat("hi");
    await expectProblem(
      http.call("/v1/chat/completions", { key: "wrong", body }),
      401,
      "no known key",
    );
    await expectProblem(
      http.call("/v1/chat/completions", { key: "", body }),
      401,
      "no known key",
    );
  });

  it("denies a caller access to the operator API", async () => {
    await expectProblem(
      http.call("/v1/operator/status", { method: "GET" }),
      403,
      "role caller",
    );
  });

  it("rejects an unknown program", async () => {
    for (const program of ["p01-unknown", "nonsense"]) {
      await expectProblem(
        http.call(`/v1/programs/${program}`, { method: "GET" }),
        404,
        "is not known",
      );
    }
  });

  it("rejects a program of another caller as unknown", async () => {
    const program = await http.startProgram("alice");
    const headers = { "x-program": program };
    await expectProblem(
      http.call("/v1/chat/completions", {
        caller: "bob",
        headers,
        body: chat("hi"),
      }),
      404,
      "is not known",
    );
  });

  it("rejects a step that is out of order", async () => {
    const program = await http.startProgram();
    const headers = { "x-program": program, "x-step": "3" };
    await expectProblem(
      http.call("/v1/chat/completions", { headers, body: chat("hi") }),
      409,
      "out of order",
    );
  });

  it("rejects an unknown model and an unknown route", async () => {
    const headers = { "x-program": await http.startProgram() };
    await expectProblem(
      http.call("/v1/chat/completions", {
        headers,
        body: chat("hi", { model: "huge" }),
      }),
      404,
      'model "huge"',
    );
    await expectProblem(
      http.call("/v1/services/nothing", { headers, body: "{}" }),
      404,
      'route "nothing"',
    );
  });

  it("rejects a body over the size limit and serves the next request", async () => {
    const body = chat("x".repeat(2_000_000));
    await expectProblem(
      http.call("/v1/chat/completions", { body }),
      413,
      "over the limit",
    );
    const { status } = await http.call("/v1/chat/completions", {
      body: chat("small"),
    });
    expect(status).toEqual(200);
  });

  it("serves a plain chat completion without a program", async () => {
    const { status, body } = await http.call("/v1/chat/completions", {
      body: chat("hello"),
    });
    const completion = body as {
      choices: { message: { content: string } }[];
      usage: { completion_tokens: number };
    };
    expect(status).toEqual(200);
    const words = completion.choices[0]?.message.content.trim().split(" ") ??
      [];
    expect(words.length).toEqual(completion.usage.completion_tokens);
  });

  it("returns the recorded answer to a retry on another host", async () => {
    const program = await http.startProgram();
    const headers = {
      "x-program": program,
      "x-step": "1",
      "x-request-id": "repeat-1",
    };
    const body = chat("once");
    const first = await http.call("/v1/chat/completions", { headers, body });
    const again = await http.call("/v1/chat/completions", {
      headers,
      body,
      host: "entry-3",
    });
    expect(again).toEqual(first);
    const step = await http.call(`/v1/programs/${program}/steps/1`, {
      method: "GET",
      host: "entry-2",
    });
    expect(step.status).toEqual(200);
  });

  it("rejects a retry with different content", async () => {
    const program = await http.startProgram();
    const headers = { "x-program": program, "x-request-id": "repeat-2" };
    const path = "/v1/chat/completions";
    await http.call(path, { headers, body: chat("once") });
    await expectProblem(
      http.call(path, { headers, body: chat("twice") }),
      409,
      "different content",
    );
  });

  it("returns the existing program when a start is retried", async () => {
    const headers = { "x-request-id": "start-1" };
    const first = await http.call("/v1/programs", { headers, body: "{}" });
    const again = await http.call("/v1/programs", {
      headers,
      body: "{}",
      host: "entry-2",
    });
    expect([first.status, again.status]).toEqual([201, 200]);
    expect((again.body as { program: string }).program).toEqual(
      (first.body as { program: string }).program,
    );
  });

  it("returns the address to connect to for a program", async () => {
    const program = await http.startProgram();
    const { body } = await http.call(`/v1/where?program=${program}`, {
      method: "GET",
      host: "entry-3",
    });
    const location = body as { address: string; keep_ms: number };
    const addresses = [...http.env.fleet.daemons.values()]
      .map((it) => it.address);
    expect(addresses.includes(location.address)).toEqual(true);
    expect(location.keep_ms > 0).toEqual(true);
  });
});
