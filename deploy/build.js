/**
 * Bundles the entry point of the platform's roles into one file under
 * `target/`, directly from the TypeScript sources.
 *
 * @module
 */
import { readdirSync } from "node:fs";
import { build } from "esbuild";

const alias = Object.fromEntries(
  readdirSync("packages").map((name) => [
    `@toucantrestle/${name}`,
    `./packages/${name}/src/mod.ts`,
  ]),
);

// The whole library would lengthen each start of a process.
alias.undici = "./deploy/undici_dispatchers.cjs";

await build({
  entryPoints: ["platform/src/main.ts"],
  outfile: "target/toucantrestle.js",
  alias,
  bundle: true,
  platform: "node",
  target: "node20",
  format: "esm",
  // CommonJS dependencies call `require`, which ES modules do not define.
  banner: {
    js: 'import { createRequire as requireFrom } from "node:module";' +
      "const require = requireFrom(import.meta.url);",
  },
  sourcemap: false,
  minifySyntax: true,
  minifyWhitespace: true,
  legalComments: "none",
});
