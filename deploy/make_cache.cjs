/**
 * Writes the code cache of a role's bundle, with the functions that loading it
 * has compiled. The program exits at once because it has no settings.
 *
 * @module
 */
"use strict";
const { readFileSync, writeFileSync } = require("node:fs");
const { join, resolve } = require("node:path");
const { Script } = require("node:vm");

const role = process.argv[2];
const folder = resolve("target");
const filename = join(folder, `${role}.cjs`);
const script = new Script(readFileSync(filename, "latin1"), { filename });
process.on("exit", () => {
  writeFileSync(join(folder, `${role}.cache`), script.createCachedData());
});
script.runInThisContext()(exports, require, module, filename, folder);
