import { type CallerClient, Program } from "@toucantrestle/caller_client";
import type { Turn } from "./workload.ts";

/**
 * Totals of one run of a sample program. Times in ms, sizes in tokens. Tokens
 * and turns of sub-agents are not included.
 */
export interface ProgramResult {
  name: string;
  /** Id of the program. */
  program: string;
  latencyMs: number;
  turns: number;
  /** Service calls, including those of sub-agents. */
  serviceCalls: number;
  promptTokens: number;
  cachedTokens: number;
  outputTokens: number;
}

/** Runs the turns of a sample program in order, including its sub-agents. */
export async function runProgram(
  client: CallerClient,
  spec: {
    name: string;
    turns: Turn[];
    parent?: string;
    budgetTokens?: number;
  },
): Promise<ProgramResult> {
  const startedAt = performance.now();
  const program = await Program.start(client, spec);
  const result: ProgramResult = {
    name: spec.name,
    program: program.id,
    latencyMs: 0,
    turns: 0,
    serviceCalls: 0,
    promptTokens: 0,
    cachedTokens: 0,
    outputTokens: 0,
  };
  for (const turn of spec.turns) {
    await runTurn(client, { program, turn, result });
    result.turns += 1;
  }
  await program.end();
  result.latencyMs = performance.now() - startedAt;
  return result;
}

async function runTurn(
  client: CallerClient,
  { program, turn, result }: {
    program: Program;
    turn: Turn;
    result: ProgramResult;
  },
): Promise<void> {
  if ("chat" in turn) {
    const { model, stream } = turn;
    const completion = await program.chat(turn.chat, { model, stream });
    result.promptTokens += completion.promptTokens;
    result.cachedTokens += completion.cachedTokens;
    result.outputTokens += completion.outputTokens;
  } else if ("service" in turn) {
    await program.service(turn.service, turn.body);
    result.serviceCalls += 1;
  } else {
    const child = await runProgram(client, {
      name: turn.sub_agent.name,
      turns: turn.sub_agent.turns,
      parent: program.id,
      budgetTokens: turn.sub_agent.budget_tokens,
    });
    result.serviceCalls += child.serviceCalls;
  }
}
