/**
 * Form of the files that hold compiled code. V8 takes such code without a
 * checksum, and compares of the source only its length. Other bytes than those
 * that it has written end the process, so that a file states what it was made
 * from, and is used only if all of that holds.
 *
 * @module
 */
"use strict";
const { Buffer } = require("node:buffer");
const { createHash } = require("node:crypto");
const { cachedDataVersionTag } = require("node:v8");

const FORMAT = 1;
const MAX_HEADER_BYTES = 1_024;
const LINE_END = 10;

/**
 * Returns the content of a cache file: a line that describes the compiled code
 * and where it fits, and the code itself.
 */
function packCodeCache(code, bundle) {
  const header = JSON.stringify(describe(code, bundle));
  return Buffer.concat([Buffer.from(`${header}\n`), code]);
}

/**
 * Returns the compiled code of a cache file, or the reason why it does not fit
 * this process and this bundle.
 */
function unpackCodeCache(content, bundle) {
  const end = content.subarray(0, MAX_HEADER_BYTES).indexOf(LINE_END);
  const stated = parseHeader(content.subarray(0, Math.max(0, end)));
  if (!stated) return { reason: "has no readable header" };
  const code = content.subarray(end + 1);
  const actual = Object.entries(describe(code, bundle));
  const other = actual.find(([name, value]) => stated[name] !== value);
  return other ? { reason: `is of another ${other[0]}` } : { code };
}

/** What must be the same where the code is made and where it is used. */
function describe(code, bundle) {
  return {
    format: FORMAT,
    node: process.version,
    v8: process.versions.v8,
    arch: process.arch,
    platform: process.platform,
    // Of the version of V8, its flags and the features of the processor.
    versionTag: cachedDataVersionTag(),
    bundle: sha256(bundle),
    code: sha256(code),
  };
}

function parseHeader(bytes) {
  try {
    const header = JSON.parse(bytes.toString("utf8"));
    return typeof header === "object" ? header : undefined;
  } catch {
    return undefined;
  }
}

function sha256(bytes) {
  return createHash("sha256").update(bytes).digest("hex");
}

module.exports = { packCodeCache, unpackCodeCache };
