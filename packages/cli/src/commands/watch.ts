/**
 * `quetzalcove watch`: shows the status periodically.
 *
 * @module
 */
import { Err, Ok, type Result, Status, Vms, Waves } from "@quetzalcove/core";
import type { z } from "zod";
import type { AdminClient } from "../admin_client.ts";
import type { Command, CommandResult, Invocation } from "../command.ts";
import { describeFailure, type Failure, usageFailure } from "../failure.ts";
import { describeStatus } from "./status.ts";
import { describePhases } from "./vms.ts";
import { describeWaves } from "./waves.ts";

export const WATCH: Command = {
  name: "watch",
  parameters: "",
  summary: "Show status, VM phases and waves until you stop it",
  details: `
On a terminal each view replaces the previous one; otherwise views are appended, and with
--json each is one line. If no daemon answers, the failure is shown and the next view is
tried as usual. Stop it with Ctrl-C.`,
  options: [
    {
      flags: "--every <seconds>",
      summary: "Pause between two views (default 2)",
    },
    { flags: "--count <views>", summary: "Stop after this number of views" },
  ],
  examples: ["watch", "watch --every 1 --count 60 --json"],
  run,
};

const DEFAULT_PAUSE_S = 2;
const MS_PER_SECOND = 1_000;

/** Moves the cursor to the top left corner and clears the terminal. */
const CLEAR_SCREEN = "\u001b[H\u001b[2J";

async function run(invocation: Invocation): Promise<CommandResult> {
  const { options, runtime, json } = invocation;
  const connected = invocation.connect();
  const every = options.count("every");
  const count = options.count("count");
  if (connected.err) {
    return connected;
  }
  if (every.err) {
    return every;
  }
  if (count.err) {
    return count;
  }
  if (every.val === 0 || count.val === 0) {
    return Err(usageFailure("--every and --count need at least 1"));
  }
  const viewCount = count.val ?? Infinity;
  for (let number = 1; number <= viewCount; number++) {
    const view = await readView(connected.val);
    const text = json
      ? `${JSON.stringify(dataOf(view))}\n`
      : textOf(view, runtime.now());
    if (number === viewCount) {
      return Ok({ text: `${text.trimEnd()}\n` });
    }
    runtime.print(runtime.interactive ? CLEAR_SCREEN + text : text);
    await runtime.sleep((every.val ?? DEFAULT_PAUSE_S) * MS_PER_SECOND);
  }
  return Ok({ text: "" });
}

/** The data of one view; each part has its own result, so that a failed part does not hide the others. */
interface View {
  status: Result<Status, Failure>;
  vms: Result<Vms, Failure>;
  waves: Result<Waves, Failure>;
}

async function readView(client: AdminClient): Promise<View> {
  const get = <T extends z.ZodType>(
    path: string,
    answer: T,
  ): Promise<Result<z.output<T>, Failure>> =>
    client.call({ method: "GET", path, answer });
  const [status, vms, waves] = await Promise.all([
    get("/v1/status", Status),
    get("/v1/vms", Vms),
    get("/v1/waves?why=1", Waves),
  ]);
  return { status, vms, waves };
}

function dataOf(view: View): unknown {
  const parts = Object.entries(view).map(([name, part]) => [
    name,
    part.ok ? part.val : { failure: part.val },
  ]);
  return Object.fromEntries(parts);
}

function textOf({ status, vms, waves }: View, now: number): string {
  if (status.err) {
    return `${describeFailure(status.val)}\n`;
  }
  const parts = [
    describeStatus(status.val),
    vms.ok ? describePhases(vms.val) : describeFailure(vms.val),
    waves.ok ? describeWaves(waves.val, now) : describeFailure(waves.val),
  ];
  return `${parts.join("\n")}\n`;
}
