import type { Role } from "@toucantrestle/http";
import {
  type Command,
  type CommandContext,
  requireArg,
  UsageError,
} from "../command.ts";

const ROLES: readonly Role[] = ["caller", "operator", "sibling"];

type Action = "list" | "create" | "rotate" | "revoke";

const ACTIONS: Record<Action, (ctx: CommandContext) => Promise<void>> = {
  list: listKeys,
  create: createKey,
  rotate: rotateKey,
  revoke: revokeKey,
};

/** Lists, creates, rotates and revokes keys. */
export const keys: Command = {
  help: `keys list
       keys create NAME ROLE
       keys rotate ID
       keys revoke ID

  Manages the keys of callers, operators and siblings. The secret of a new key
  is printed only once. rotate creates a new key; the old key stays valid until
  it is revoked.`,
  flags: {},
  async handler(ctx) {
    const name = ctx.args[0] ?? "list";
    const action = ACTIONS[name as Action];
    if (!action) throw new UsageError(`unknown action "keys ${name}"`);
    await action(ctx);
  },
};

async function listKeys(ctx: CommandContext): Promise<void> {
  const list = await ctx.client.keys();
  const lines = list.map((it) =>
    `${it.id} ${it.role} ${it.name} ${new Date(it.createdAt).toISOString()}`
  );
  ctx.print(lines, list);
}

async function createKey(ctx: CommandContext): Promise<void> {
  const name = requireArg(ctx, 1, "NAME");
  const role = requireArg(ctx, 2, "ROLE") as Role;
  if (!ROLES.includes(role)) {
    throw new UsageError(
      `unknown role "${role}": expected one of ${ROLES.join(", ")}`,
    );
  }
  const key = await ctx.client.createKey(name, role);
  ctx.print([key], { key });
}

async function rotateKey(ctx: CommandContext): Promise<void> {
  const id = requireArg(ctx, 1, "ID");
  const old = (await ctx.client.keys()).find((it) => it.id === id);
  if (!old) throw new UsageError(`unknown key id ${id}`);
  const key = await ctx.client.createKey(old.name, old.role);
  ctx.print([key], { key, replaces: id });
}

async function revokeKey(ctx: CommandContext): Promise<void> {
  const id = requireArg(ctx, 1, "ID");
  const revoked = await ctx.client.revokeKey(id);
  if (revoked === 0) throw new UsageError(`unknown key id ${id}`);
  ctx.print([`revoked key ${id}`], { revoked });
}
