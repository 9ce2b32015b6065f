import { readFileSync } from "node:fs";
import { parse } from "yaml";
import * as z from "zod";

const chatSchema = z.strictObject({
  chat: z.string(),
  model: z.string().default("small"),
  stream: z.boolean().default(false),
});

const serviceSchema = z.strictObject({
  service: z.string(),
  body: z.unknown(),
});

const subAgentSchema = z.strictObject({
  sub_agent: z.strictObject({
    name: z.string(),
    budget_tokens: z.number().int().positive(),
    turns: z.array(z.union([chatSchema, serviceSchema])),
  }),
});

const turnSchema = z.union([chatSchema, serviceSchema, subAgentSchema]);

const workloadSchema = z.strictObject({
  programs: z.array(z.strictObject({
    name: z.string(),
    caller: z.string(),
    count: z.number().int().positive().default(1),
    turns: z.array(turnSchema),
  })),
});

/**
 * One turn of a sample program: a chat completion, a service call or a
 * sub-agent.
 */
export type Turn = z.infer<typeof turnSchema>;

/** Contents of a workload file: sample programs and how often each one runs. */
export type Workload = z.infer<typeof workloadSchema>;

/** Reads and validates a workload file (YAML). */
export function readWorkload(path: string): Workload {
  return workloadSchema.parse(parse(readFileSync(path, "utf8")));
}
