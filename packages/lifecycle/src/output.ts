import process from "node:process";

const FAILED_STATUS = 1;

/**
 * Lets a command go on without its output once the reader is gone, as in
 * `rows | head -1`. Output that cannot be written for another reason, such as a
 * full disk, is reported in one line and makes the command fail.
 */
export function handleOutputErrors(program: string): void {
  process.stderr.on("error", () => {});
  // The errors after the first one only say that the stream is destroyed.
  process.stdout.once("error", (err: NodeJS.ErrnoException) => {
    if (err.code !== "EPIPE") failWithoutOutput(program, err);
  });
  process.stdout.on("error", () => {});
}

function failWithoutOutput(program: string, err: Error): void {
  process.stderr.write(`${program}: cannot write its output: ${err.message}\n`);
  process.on("exit", (status) => {
    if (status === 0) process.exitCode = FAILED_STATUS;
  });
}
