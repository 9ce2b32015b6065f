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
const { packCodeCache } = require("./code_cache.cjs");

const role = process.argv[2];
const folder = resolve("target");
const filename = join(folder, `${role}.cjs`);
const bundle = readFileSync(filename);
const script = new Script(bundle.latin1Slice(), { filename });
process.on("exit", () => {
  const content = packCodeCache(script.createCachedData(), bundle);
  writeFileSync(join(folder, `${role}.cache`), content);
});
script.runInThisContext()(exports, require, module, filename, folder);
