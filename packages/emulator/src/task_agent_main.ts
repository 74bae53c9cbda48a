/**
 * Runs one emulated task agent as a process: `task_agent_main.js VM HOST PORT RECORD_FILE`.
 *
 * @module
 */
import { appendFileSync } from "node:fs";
import process from "node:process";
import { TaskAgent } from "./task_agent.ts";

const [vm = "", host = "", port = "", file = ""] = process.argv.slice(2);

await new TaskAgent({
  vm,
  host,
  port: Number(port),
  record: (event) => appendFileSync(file, `${JSON.stringify(event)}\n`),
}).start();
