/**
 * Builds the program of the platform's roles as one file under `target/`,
 * straight from the sources.
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

await build({
  entryPoints: ["platform/src/main.ts"],
  outfile: "target/toucantrestle.js",
  alias,
  bundle: true,
  platform: "node",
  target: "node20",
  format: "esm",
  // Packages in CommonJS form look for `require`.
  banner: {
    js: 'import { createRequire as requireFrom } from "node:module";' +
      "const require = requireFrom(import.meta.url);",
  },
  sourcemap: false,
  legalComments: "none",
});
