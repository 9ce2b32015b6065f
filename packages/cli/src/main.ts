#!/usr/bin/env node
/**
 * Entry point of the operators' command-line interface.
 *
 * @module
 */
import { handleOutputErrors } from "@toucantrestle/lifecycle";
import process from "node:process";
import { runCli } from "./run.ts";

handleOutputErrors("toucantrestle");
process.exitCode = await runCli({
  argv: process.argv.slice(2),
  env: process.env,
  out: (line) => process.stdout.write(line + "\n"),
  err: (line) => process.stderr.write(line + "\n"),
});
