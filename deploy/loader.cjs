/**
 * Starts the program of a role: `node FLAGS target/toucantrestle.js ROLE`.
 * Takes its compiled code from the cache that the build has made, if the cache
 * is whole and fits.
 *
 * @module
 */
"use strict";
// A signal ends a process that does not listen for it, and what follows takes
// time. The program takes the signals over before the first one is handed out.
const SIGNALS = [
  "SIGHUP",
  "SIGTERM",
  "SIGINT",
  "SIGQUIT",
  "SIGUSR1",
  "SIGUSR2",
  "SIGALRM",
];
for (const name of SIGNALS) process.on(name, () => {});

const { readFileSync } = require("node:fs");
const { join } = require("node:path");
const { Script } = require("node:vm");

const ROLES = ["front", "turn_store"];
const BAD_USAGE_STATUS = 2;

const role = process.argv[2] ?? "";
if (ROLES.includes(role)) {
  run(join(__dirname, `${role}.cjs`));
} else {
  process.stderr.write(`toucantrestle: unknown role "${role}"\n`);
  process.exit(BAD_USAGE_STATUS);
}

function run(filename) {
  const bundle = readFileSync(filename);
  const script = new Script(bundle.latin1Slice(), {
    filename,
    cachedData: readCode(bundle),
  });
  if (script.cachedDataRejected) {
    warn("the code cache does not fit this version or these flags of Node.js");
  }
  script.runInThisContext()(exports, require, module, filename, __dirname);
}

/** Returns the compiled code of a bundle, if there is a cache that fits it. */
function readCode(bundle) {
  try {
    // A folder of an earlier build may lack it.
    const { unpackCodeCache } = require("./code_cache.cjs");
    const content = readFileSync(join(__dirname, `${role}.cache`));
    const { code, reason } = unpackCodeCache(content, bundle);
    if (!code) warn(`the code cache ${reason}`);
    return code;
  } catch {
    warn("there is no code cache");
    return undefined;
  }
}

function warn(message) {
  const line = {
    time: new Date().toISOString(),
    level: "warn",
    part: "loader",
    message: `${message}; starting without it`,
    event: "no_code_cache",
  };
  process.stdout.on("error", () => {});
  process.stdout.write(`${JSON.stringify(line)}\n`);
}
