/**
 * Judges the results of the tests against KNOWN-RED.txt: fails if a test failed
 * that is not listed, or if a listed test does not exist.
 *
 *     node .ci/judge_results.js RESULTS KNOWN_RED
 *
 * A line `Test: FILE: NAME` of the list names one test that may fail. The list is
 * rejected if `Test: FILE` stands anywhere else than at the start of a line.
 *
 * @module
 */
import { readFileSync } from "node:fs";
import process from "node:process";

const LISTED_TEST = /^\s*Test: (\S+): (.+)$/gm;
const MISPLACED_TEST = /^.*\S.*\bTest: \S+_test\.ts.*$/gm;

function keyOf({ file, name }) {
  return `${file}: ${name}`;
}

function readResults(path) {
  return readFileSync(path, "utf8")
    .split("\n")
    .filter((line) => line !== "")
    .map((line) => JSON.parse(line));
}

function readListedTests(text) {
  return [...text.matchAll(LISTED_TEST)]
    .map(([, file, name]) => keyOf({ file, name }));
}

function printAll(heading, keys) {
  for (const key of keys) console.log(`${heading}: ${key}`);
}

const [resultsPath, listPath] = process.argv.slice(2);
const results = readResults(resultsPath);
const listText = readFileSync(listPath, "utf8");
const listed = new Set(readListedTests(listText));
const misplaced = listText.match(MISPLACED_TEST) ?? [];
const existing = new Set(results.map(keyOf));
const failed = results.filter((it) => !it.passed).map(keyOf);
const unlisted = failed.filter((it) => !listed.has(it));
const missing = [...listed].filter((it) => !existing.has(it));

printAll("known failure, passed over", failed.filter((it) => listed.has(it)));
printAll(
  "listed in KNOWN-RED.txt, but passed",
  [...listed].filter((it) => existing.has(it) && !failed.includes(it)),
);
printAll("listed in KNOWN-RED.txt, but does not exist", missing);
printAll("not at the start of a line in KNOWN-RED.txt", misplaced);
printAll("failed", unlisted);
const isAccepted = results.length > 0 && unlisted.length === 0 &&
  missing.length === 0 && misplaced.length === 0;
process.exit(isAccepted ? 0 : 1);
