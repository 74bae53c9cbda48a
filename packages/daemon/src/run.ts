/**
 * Runs the command `quetzalcoved` with the arguments of the process.
 *
 * @module
 */
import process from "node:process";
import { main } from "./main.ts";

await main(process.argv);
