/**
 * Builds the program of the platform's roles under `target/`: a bundle for each
 * role, its code cache, and the loader that `deploy/system.toml` runs.
 *
 * @module
 */
import { spawnSync } from "node:child_process";
import {
  copyFileSync,
  existsSync,
  mkdirSync,
  readFileSync,
  rmSync,
  writeFileSync,
} from "node:fs";
import process from "node:process";
import { bundleRole } from "./bundle.js";

const ROLES = ["front", "turn_store"];
const CACHE_TIMEOUT_MS = 20_000;

rmSync("target", { recursive: true, force: true });
mkdirSync("target");
writeFileSync("target/package.json", '{ "type": "commonjs" }\n');
copyFileSync("deploy/loader.cjs", "target/toucantrestle.js");
copyFileSync("deploy/code_cache.cjs", "target/code_cache.cjs");
await Promise.all(
  ROLES.map((role) => bundleRole(role, `target/${role}.cjs`)),
);
for (const role of ROLES) createCache(role);

/**
 * Compiles a bundle with the flags of its role, since V8 accepts a cache only
 * under the flags that it was made with.
 */
function createCache(role) {
  const args = [...readFlags(role), "deploy/make_cache.cjs", role];
  spawnSync(process.execPath, args, {
    env: {},
    stdio: "ignore",
    timeout: CACHE_TIMEOUT_MS,
  });
  if (!existsSync(`target/${role}.cache`)) {
    process.stderr.write(`no code cache for role ${role}\n`);
  }
}

/** Returns the Node.js flags of a role in `deploy/system.toml`. */
function readFlags(role) {
  const text = readFileSync("deploy/system.toml", "utf8");
  const pattern = new RegExp(`run = "node (.*) target/\\S+ ${role}"`);
  const flags = pattern.exec(text)?.[1];
  if (!flags) throw new Error(`no run line for ${role} in deploy/system.toml`);
  return flags.split(" ");
}
