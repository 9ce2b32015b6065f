/**
 * Bundles the program of each role into one CommonJS function under `target/`,
 * directly from the TypeScript sources.
 *
 * @module
 */
import { readdirSync, readFileSync } from "node:fs";
import { build } from "esbuild";

const alias = Object.fromEntries(
  readdirSync("packages").map((name) => [
    `@toucantrestle/${name}`,
    `./packages/${name}/src/mod.ts`,
  ]),
);

// The whole library would lengthen each start of a process.
alias.undici = "./deploy/undici_dispatchers.cjs";

/** Replacements in the hash library that make it available synchronously. */
const HASHER_REPLACEMENTS = [
  ["async function", "function"],
  [
    "(await WebAssembly.instantiate(t)).instance",
    "new WebAssembly.Instance(new WebAssembly.Module(t))",
  ],
];
const SOURCE_REPLACEMENTS = [["= await xxhash()", "= xxhash()"]];

/** CommonJS, which V8 can compile from a cache, has no top-level `await`. */
const synchronousHasher = {
  name: "synchronous-hasher",
  setup({ onLoad }) {
    onLoad({ filter: /xxhash-wasm\/esm\/xxhash-wasm\.js$/ }, ({ path }) => ({
      contents: replaceAll(path, HASHER_REPLACEMENTS),
      loader: "js",
    }));
    onLoad({ filter: /packages\/(membership|policy)\/src\/.*\.ts$/ }, (it) => {
      const isUser = readFileSync(it.path, "utf8").includes("await xxhash()");
      return isUser
        ? { contents: replaceAll(it.path, SOURCE_REPLACEMENTS), loader: "ts" }
        : undefined;
    });
  },
};

function replaceAll(path, replacements) {
  let text = readFileSync(path, "utf8");
  for (const [from, to] of replacements) {
    if (!text.includes(from)) throw new Error(`${path}: no "${from}"`);
    text = text.replace(from, to);
  }
  return text;
}

/** Bundles the program of a role; the file is an expression, a function. */
export async function bundleRole(role, outfile) {
  await build({
    entryPoints: [`platform/src/main_${role}.ts`],
    outfile,
    alias,
    plugins: [synchronousHasher],
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
