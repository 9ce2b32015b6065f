import {
  createHttpServer,
  type HttpRoute,
  type HttpServer,
} from "@toucantrestle/http";
import { type OperatorHandlers, operatorRoutes } from "@toucantrestle/operator";
import { applyEdit, EMPTY_TABLE, type Table } from "@toucantrestle/table";
import { createNoopLoggers } from "@toucantrestle/log";
import { createSystemTimer } from "@toucantrestle/timer";
import { expect } from "earl";
import { mkdtempSync, writeFileSync } from "node:fs";
import { createServer } from "node:net";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { after, before, describe, it } from "node:test";
import { EXIT_STATUSES, runCli } from "../src/mod.ts";

const LISTEN_OPTIONS = {
  timer: createSystemTimer(),
  log: createNoopLoggers()("http"),
};

const KEY = "operator-key";

/** Serves the operators' API of a daemon with an in-memory table. */
class FakeDaemon {
  table: Table = EMPTY_TABLE;
  url = "";
  #server: HttpServer | undefined;

  async start(): Promise<void> {
    const address = `127.0.0.1:${await findFreePort()}`;
    this.#server = createHttpServer({
      routes: this.#routes(),
      maxBodyBytes: 1_000_000,
      tls: undefined,
      timer: LISTEN_OPTIONS.timer,
      authenticate: (key) =>
        key === KEY ? { name: "op", role: "operator" } : undefined,
      isReady: () => true,
      onError: () => {},
    });
    await this.#server.listen(address, LISTEN_OPTIONS);
    this.url = `http://${address}`;
  }

  async stop(): Promise<void> {
    await this.#server?.drain();
  }

  #routes(): HttpRoute[] {
    const handlers = {
      table: () => this.table,
      edit: (edit) => {
        this.table = applyEdit(this.table, edit);
        return Promise.resolve(this.table);
      },
    } as OperatorHandlers;
    return operatorRoutes(handlers, { allowFaults: false });
  }
}

function findFreePort(): Promise<number> {
  return new Promise((resolve) => {
    const server = createServer();
    server.listen(0, "127.0.0.1", () => {
      const address = server.address();
      const port = typeof address === "object" ? address?.port ?? 0 : 0;
      server.close(() => resolve(port));
    });
  });
}

function writeDeclaration(text: string): string {
  const file = join(mkdtempSync(join(tmpdir(), "cli-")), "table.yaml");
  writeFileSync(file, text);
  return file;
}

describe("runCli", () => {
  const daemon = new FakeDaemon();
  before(() => daemon.start());
  after(() => daemon.stop());

  async function run(...argv: string[]) {
    const out: string[] = [];
    const err: string[] = [];
    const status = await runCli({
      argv,
      env: { TOUCANTRESTLE_URL: daemon.url, TOUCANTRESTLE_KEY: KEY },
      out: (line) => out.push(line),
      err: (line) => err.push(line),
    });
    return { status, out: out.join("\n"), err: err.join("\n") };
  }

  it("applies a declaration idempotently", async () => {
    const file = writeDeclaration("callers:\n  a:\n    weight: 3\n");
    const first = await run("apply", file);
    expect(first.out).toInclude("+ caller/a weight = 3");
    const second = await run("apply", file);
    expect(second.out).toEqual("no changes");
    expect(daemon.table.revision).toEqual(1);
  });

  it("rejects an invalid declaration and reports the position", async () => {
    const file = writeDeclaration("callers:\n  b:\n    weight: no\n");
    const { status, err } = await run("apply", file);
    expect(status).toEqual(EXIT_STATUSES.failed);
    expect(err).toInclude("line 3, column 13");
  });

  it("edits a cell and prints the old and the new value", async () => {
    const { status, out } = await run("edit", "caller/a", "weight=5");
    expect(status).toEqual(EXIT_STATUSES.done);
    expect(out).toInclude("caller/a weight: 3 -> 5");
  });

  it("requires --force for a change that starves all callers", async () => {
    const { status, err } = await run("edit", "caller/a", "weight=0");
    expect(status).toEqual(EXIT_STATUSES.usage);
    expect(err).toInclude("every caller has weight 0");
    const forced = await run("edit", "caller/a", "weight=0", "--force");
    expect(forced.status).toEqual(EXIT_STATUSES.done);
  });

  it("rejects unknown columns, flags and commands", async () => {
    const unknown = await run("edit", "caller/a", "wieght=1");
    expect(unknown.err).toInclude('no column "wieght"');
    const flag = await run("rows", "--nope");
    expect(flag.status).toEqual(EXIT_STATUSES.usage);
    const command = await run("stauts");
    expect(command.status).toEqual(EXIT_STATUSES.usage);
  });

  it("prints JSON with --json", async () => {
    const { out } = await run("rows", "caller/", "--json");
    expect((JSON.parse(out) as { revision: number }).revision)
      .toEqual(daemon.table.revision);
  });

  it("reports an invalid key and an unreachable daemon", async () => {
    const invalidKey = await run("rows", "--key", "wrong");
    expect(invalidKey.status).toEqual(EXIT_STATUSES.failed);
    const unreachable = await run("rows", "--url", "http://127.0.0.1:1");
    expect(unreachable.status).toEqual(EXIT_STATUSES.unreachable);
  });
});
