/**
 * Loaded by the processes of the harness before their script: ends a process
 * with the one that started it, however that ends. Its end closes their pipe.
 *
 * @module
 */
"use strict";
const { Socket } = require("node:net");
const process = require("node:process");

/** Descriptor of the pipe to the process that started this one. */
const PARENT_FD = 3;

const parent = new Socket({ fd: PARENT_FD, readable: true, writable: false });
parent.on("error", () => {});
parent.once("close", () => process.kill(process.pid, "SIGKILL"));
parent.resume();
parent.unref();
