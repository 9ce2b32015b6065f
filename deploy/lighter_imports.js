/**
 * Leaves out of the bundles what libraries load at start and this program never
 * uses. Loading a large module of Node.js such as `http2` costs 2 to 8 ms.
 *
 * @module
 */
import { readdirSync, readFileSync } from "node:fs";
import { resolve } from "node:path";

/** Modules of Node.js that are loaded at their first use. */
const LAZY_BUILTINS = /^(https|tls|child_process)$/;

/** Parts of libraries that are replaced by nothing. */
const UNUSED_PARTS = [
  // HTTP/2 is not enabled for any dispatcher.
  /undici\/lib\/dispatcher\/client-h2\.js$/,
  // The native decoder is not found from a bundle.
  /msgpackr-extract\/index\.js$/,
];

/** Replacements in the hash library that make it available synchronously. */
const HASHER_REPLACEMENTS = [
  ["async function", "function"],
  [
    "(await WebAssembly.instantiate(t)).instance",
    "new WebAssembly.Instance(new WebAssembly.Module(t))",
  ],
];
const HASHER_CALL_REPLACEMENTS = [["= await xxhash()", "= xxhash()"]];

/** Modules that are bundled in place of those that the sources name. */
export const aliases = {
  ...Object.fromEntries(
    readdirSync("packages").map((name) => [
      `@toucantrestle/${name}`,
      `./packages/${name}/src/mod.ts`,
    ]),
  ),
  undici: "./deploy/undici_dispatchers.cjs",
  "undici/lib/llhttp/llhttp-wasm.js": resolve(
    "node_modules/undici/lib/llhttp/llhttp-wasm.js",
  ),
  "prom-client": "./deploy/prom_metrics.cjs",
  // The full entry adds reporters for terminals; the program has its own.
  consola: resolve("node_modules/consola/dist/core.mjs"),
};

/** Loads modules of Node.js that the program hardly uses when it needs them. */
export const lazyBuiltins = {
  name: "lazy-builtins",
  setup({ onResolve, onLoad }) {
    onResolve(
      { filter: LAZY_BUILTINS },
      ({ path, namespace }) =>
        namespace === "lazy" ? undefined : { path, namespace: "lazy" },
    );
    onLoad({ filter: /.*/, namespace: "lazy" }, ({ path }) => ({
      contents: `module.exports = new Proxy({}, {
        get: (_, name) => require("node:${path}")[name],
      });`,
    }));
  },
};

/** Leaves out parts of libraries that the program never uses. */
export const unusedParts = {
  name: "unused-parts",
  setup({ onLoad }) {
    for (const filter of UNUSED_PARTS) {
      onLoad({ filter }, () => ({ contents: "module.exports = undefined;" }));
    }
  },
};

/** CommonJS, which V8 can compile from a cache, has no top-level `await`. */
export const synchronousHasher = {
  name: "synchronous-hasher",
  setup({ onLoad }) {
    onLoad({ filter: /xxhash-wasm\/esm\/xxhash-wasm\.js$/ }, ({ path }) => ({
      contents: replaceAll(path, HASHER_REPLACEMENTS),
      loader: "js",
    }));
    onLoad({ filter: /packages\/(membership|policy)\/src\/.*\.ts$/ }, (it) => {
      const isUser = readFileSync(it.path, "utf8").includes("await xxhash()");
      if (!isUser) return undefined;
      const contents = replaceAll(it.path, HASHER_CALL_REPLACEMENTS);
      return { contents, loader: "ts" };
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
