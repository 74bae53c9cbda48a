/**
 * All commands, in the order in which the help lists them.
 *
 * @module
 */
import type { Command } from "../command.ts";
import { APPLY } from "./apply.ts";
import { CONFIG } from "./config.ts";
import { DRAIN, RESUME } from "./drain.ts";
import { EXPLAIN } from "./explain.ts";
import { EXPORT } from "./export.ts";
import { IMPORT } from "./import.ts";
import { INIT } from "./init.ts";
import { JOBS } from "./jobs.ts";
import { REPLICAS } from "./replicas.ts";
import { REQUESTS, SETTLE } from "./requests.ts";
import { SERVICES } from "./services.ts";
import { STATUS } from "./status.ts";
import { TRACE } from "./trace.ts";
import { VMS } from "./vms.ts";
import { WATCH } from "./watch.ts";
import { WAVES } from "./waves.ts";

export const COMMANDS: readonly Command[] = [
  IMPORT,
  CONFIG,
  INIT,
  APPLY,
  EXPORT,
  STATUS,
  WATCH,
  VMS,
  SERVICES,
  DRAIN,
  RESUME,
  WAVES,
  JOBS,
  REQUESTS,
  SETTLE,
  REPLICAS,
  TRACE,
  EXPLAIN,
];
