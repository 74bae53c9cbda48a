/**
 * `quetzalcove watch`: shows the status again and again.
 *
 * @module
 */
import { Err, Ok, type Result, Status, Vms, Waves } from "@quetzalcove/core";
import type { AdminClient } from "../admin_client.ts";
import type { Command, Invocation, Outcome } from "../command.ts";
import { describeFailure, type Failure, usage } from "../failure.ts";
import { describeStatus } from "./status.ts";
import { describePhases } from "./vms.ts";
import { describeWaves } from "./waves.ts";

export const WATCH: Command = {
  name: "watch",
  parameters: "",
  summary: "Show status, VM phases and waves until you stop it",
  details: `
On a terminal each view replaces the last one; otherwise views follow one another, and
with --json each is one line. A daemon that does not answer is shown and asked again.
Stop it with Ctrl-C.`,
  options: [
    {
      flags: "--every <seconds>",
      summary: "Pause between two views (default 2)",
    },
    { flags: "--count <views>", summary: "Stop after so many views" },
  ],
  examples: ["watch", "watch --every 1 --count 60 --json"],
  run,
};

const DEFAULT_PAUSE_S = 2;
const SECOND_MS = 1_000;

/** Moves the cursor to the top left corner and clears the terminal. */
const CLEAR = "\u001b[H\u001b[2J";

async function run(invocation: Invocation): Promise<Outcome> {
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
    return Err(usage("--every and --count need at least 1"));
  }
  const views = count.val ?? Infinity;
  for (let view = 1; view <= views; view++) {
    const seen = await look(connected.val);
    const text = json
      ? `${JSON.stringify(dataOf(seen))}\n`
      : textOf(seen, runtime.now());
    if (view === views) {
      return Ok({ text });
    }
    runtime.print(runtime.interactive ? CLEAR + text : text);
    await runtime.sleep((every.val ?? DEFAULT_PAUSE_S) * SECOND_MS);
  }
  return Ok({ text: "" });
}

/** One view. */
interface View {
  status: Status;
  vms: Vms;
  waves: Waves;
}

async function look(client: AdminClient): Promise<Result<View, Failure>> {
  const status = await client.call({
    method: "GET",
    path: "/v1/status",
    answer: Status,
  });
  if (status.err) {
    return status;
  }
  const vms = await client.call({
    method: "GET",
    path: "/v1/vms",
    answer: Vms,
  });
  if (vms.err) {
    return vms;
  }
  const waves = await client.call({
    method: "GET",
    path: "/v1/waves?why=1",
    answer: Waves,
  });
  return waves.map((found) => ({
    status: status.val,
    vms: vms.val,
    waves: found,
  }));
}

function dataOf(seen: Result<View, Failure>): unknown {
  return seen.ok ? seen.val : { failure: seen.val };
}

function textOf(seen: Result<View, Failure>, now: number): string {
  if (seen.err) {
    return describeFailure(seen.val);
  }
  const { status, vms, waves } = seen.val;
  return [
    describeStatus(status),
    describePhases(vms),
    describeWaves(waves, now),
  ].join("\n");
}
