/**
 * Reporter of `node --test` that writes one JSON line for each test: its file,
 * its full name and whether it passed. Suites are left out unless the suite
 * itself failed, for instance in a hook.
 *
 * @module
 */
import process from "node:process";
import { relative } from "node:path";

const NAME_SEPARATOR = " > ";

/** Returns the source file of a compiled test, relative to the repository. */
function sourceOf(file) {
  return relative(process.cwd(), file)
    .replace("/dist/test/", "/test/")
    .replace(/\.js$/, ".ts");
}

/** Returns whether a failure only says that tests inside a suite failed. */
function isFailureOfSubtests(details) {
  return details?.error?.failureType === "subtestsFailed";
}

export default async function* reportResults(events) {
  const names = [];
  for await (const { type, data } of events) {
    if (type === "test:start") {
      names.length = data.nesting;
      names.push(data.name);
    }
    if (type !== "test:pass" && type !== "test:fail") continue;
    if (data.details?.type === "suite" && type === "test:pass") continue;
    if (isFailureOfSubtests(data.details)) continue;
    const name = [...names.slice(0, data.nesting), data.name]
      .join(NAME_SEPARATOR);
    const passed = type === "test:pass";
    yield `${JSON.stringify({ file: sourceOf(data.file), name, passed })}\n`;
  }
}
