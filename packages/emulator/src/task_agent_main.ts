/**
 * Runs an emulated task agent as a process: `task_agent_main.js VM HOST PORT RECORD_FILE`. Appends each task event to
 * the record file as a line of JSON.
 *
 * @module
 */
import { appendFileSync } from "node:fs";
import process from "node:process";
import { TaskAgent } from "./task_agent.ts";

const [vm = "", host = "", port = "", recordFile = ""] = process.argv.slice(2);

await new TaskAgent({
  vm,
  host,
  port: Number(port),
  record: (event) => appendFileSync(recordFile, `${JSON.stringify(event)}\n`),
}).start();
