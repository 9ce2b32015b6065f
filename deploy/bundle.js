/**
 * Bundles the program of each role into one CommonJS function under `target/`,
 * directly from the TypeScript sources.
 *
 * @module
 */
import { build } from "esbuild";
import {
  aliases,
  lazyBuiltins,
  synchronousHasher,
  unusedParts,
} from "./lighter_imports.js";

/** Bundles the program of a role; the file is an expression, a function. */
export async function bundleRole(role, outfile) {
  await build({
    entryPoints: [`platform/src/main_${role}.ts`],
    outfile,
    alias: aliases,
    plugins: [lazyBuiltins, unusedParts, synchronousHasher],
    bundle: true,
    platform: "node",
    target: "node20",
    format: "cjs",
    // The loader reads the file as one byte a character.
    charset: "ascii",
    banner: {
      js: "(function(exports,require,module,__filename,__dirname){",
    },
    footer: { js: "})" },
    sourcemap: false,
    minifySyntax: true,
    minifyWhitespace: true,
    legalComments: "none",
  });
}
