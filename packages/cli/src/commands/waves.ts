/**
 * `quetzalcove waves`: maintenance waves, and the rules that hold VMs back from them.
 *
 * @module
 */
import { type WaveHold, Waves } from "@quetzalcove/core";
import type { Command, CommandResult, Invocation } from "../command.ts";
import { compareNames, formatDuration, formatTable } from "../format.ts";

export const WAVES: Command = {
  name: "waves",
  parameters: "",
  summary: "Show maintenance waves and, with --why, what holds VMs back",
  details: `
A wave drains and reboots VMs of one failure domain and ends when they are healthy again.
--why shows for each VM that is held back the deciding rule and service, and the figure
with its limit.`,
  options: [{ flags: "--why", summary: "Name what holds each VM back" }],
  examples: ["waves", "waves --why"],
  run,
};

async function run(invocation: Invocation): Promise<CommandResult> {
  const { options, runtime } = invocation;
  const why = options.flag("why");
  const connected = invocation.connect();
  if (connected.err) {
    return connected;
  }
  const found = await connected.val.call({
    method: "GET",
    path: why ? "/v1/waves?why=1" : "/v1/waves",
    answer: Waves,
  });
  return found.map((data) => ({
    text: describeWaves(data, runtime.now()) +
      (why ? `\n${describeHolds(data.holds)}` : ""),
    data,
  }));
}

const WAVE_COLUMNS = [
  { heading: "WAVE", numeric: true },
  { heading: "DOMAIN" },
  { heading: "CANARY" },
  { heading: "SINCE" },
  { heading: "VMS" },
];

const HOLD_COLUMNS = [
  { heading: "HELD" },
  { heading: "RULE" },
  { heading: "SERVICE" },
  { heading: "FIGURE", numeric: true },
  { heading: "LIMIT", numeric: true },
  { heading: "MESSAGE" },
];

/** Formats the waves as human-readable text. */
export function describeWaves(found: Waves, now: number): string {
  if (found.waves.length === 0) {
    return "No maintenance wave is in progress\n";
  }
  const rows = found.waves.map((wave) => [
    wave.id,
    wave.domain,
    wave.canary ? "yes" : "no",
    `${formatDuration(Math.max(0, now - wave.startedAt))} ago`,
    wave.vms.toSorted(compareNames).join(", "),
  ]);
  return formatTable(WAVE_COLUMNS, rows);
}

function describeHolds(holds: readonly WaveHold[]): string {
  if (holds.length === 0) {
    return "Nothing holds a VM back\n";
  }
  const rows = holds.map((hold) => [
    hold.vm ?? hold.domain ?? "all",
    hold.rule,
    hold.service ?? "-",
    hold.figure ?? "-",
    hold.limit ?? "-",
    hold.message,
  ]);
  return formatTable(HOLD_COLUMNS, rows);
}
