/**
 * Starts the command-line tool.
 *
 * @module
 */
import process from "node:process";
import { run } from "./program.ts";
import { processRuntime } from "./runtime.ts";

// A reader such as `head` that closes the pipe early is not an error.
process.stdout.on("error", () => process.exit());

process.exitCode = await run(process.argv.slice(2), processRuntime());
