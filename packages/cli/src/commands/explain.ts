/**
 * `quetzalcove explain`: the history of one job from the logs of all nodes.
 *
 * @module
 */
import { Err, fault, Ok, type Result } from "@quetzalcove/core";
import type { Command, CommandResult, Invocation } from "../command.ts";
import { fail, type Failure, usageFailure, withReason } from "../failure.ts";
import { formatCount, formatDuration, formatTable } from "../format.ts";
import { type LogEvent, parseLogLine } from "../log_line.ts";
import type { Runtime } from "../runtime.ts";
import {
  buildJobTimeline,
  type JobTimeline,
  type TimelineItem,
} from "../job_timeline.ts";

export const EXPLAIN: Command = {
  name: "explain",
  parameters: "<job>",
  summary: "Show the history of a job from the logs of all nodes",
  details: `
Reads every file in a folder of node logs and shows the events that mention the job,
sorted by the clocks of the nodes: requests, placements, runs, the end of the job. Events
of the workers on which it ran, changes of leadership, and starts and stops of nodes are
shown with them. A period without events of the job is shown as a gap.`,
  options: [
    { flags: "--logs <folder>", summary: "Folder with the logs of the nodes" },
  ],
  examples: ["explain 5c0e7a21d94b36f8 --logs /var/log/quetzalcove"],
  run,
};

async function run(
  { runtime, args, options }: Invocation,
): Promise<CommandResult> {
  const [job = ""] = args;
  const folder = options.text("logs");
  if (folder === undefined) {
    return Err(usageFailure("Option --logs <folder> is missing"));
  }
  const logs = await readLogs(runtime, folder);
  return logs.andThen(({ events, files, unreadable }) => {
    const timeline = buildJobTimeline(job, events);
    if (timeline === undefined) {
      const where = `${formatCount(files, "file")} of ${folder}`;
      return fail(
        "input",
        fault("not_found", `No log line mentions job "${job}" in ${where}`, {
          remedy:
            "Collect the logs of all nodes, entries and replicas, in this folder",
        }),
      );
    }
    return Ok({
      text: describeTimeline(timeline) + describeUnreadable(unreadable),
      data: { job, unreadable, chapters: timeline.items.map(dataOf) },
    });
  });
}

interface Logs {
  events: LogEvent[];
  files: number;
  /** Number of lines that are not events: output of other programs, or truncated. */
  unreadable: number;
}

async function readLogs(
  runtime: Runtime,
  folder: string,
): Promise<Result<Logs, Failure>> {
  const files = withReason("input", await runtime.listFiles(folder));
  if (files.err) {
    return files;
  }
  const logs: Logs = { events: [], files: files.val.length, unreadable: 0 };
  for (const file of files.val) {
    const text = withReason("input", await runtime.readText(file));
    if (text.err) {
      return text;
    }
    for (const line of text.val.split("\n")) {
      const event = parseLogLine(line);
      if (event !== undefined) {
        logs.events.push(event);
      } else if (line.trim() !== "") {
        logs.unreadable += 1;
      }
    }
  }
  return Ok(logs);
}

function describeTimeline({ from, items }: JobTimeline): string {
  const start = new Date(from).toISOString();
  const rows = items.map((item) => rowOf(item, from));
  const table = formatTable(
    [
      { heading: "AFTER", numeric: true },
      { heading: "NODE" },
      { heading: "EVENT" },
      { heading: "DETAILS" },
    ],
    rows,
  );
  return `First mentioned at ${start}\n${table}`;
}

function rowOf(item: TimelineItem, from: number): string[] {
  if (item.kind === "gap") {
    return ["", "", `-- no events for ${formatDuration(item.ms)}`, ""];
  }
  const { at, node, event, fields } = item.event;
  const details = [...fields].map(([key, value]) => `${key}=${value}`);
  return [`${at - from} ms`, node, event, details.join(" ")];
}

function describeUnreadable(lines: number): string {
  return lines === 0
    ? ""
    : `${formatCount(lines, "line")} could not be parsed as events\n`;
}

function dataOf(item: TimelineItem): unknown {
  if (item.kind === "gap") {
    return item;
  }
  const { at, node, event, fields } = item.event;
  return {
    kind: "event",
    relation: item.relation,
    at,
    node,
    event,
    fields: Object.fromEntries(fields),
  };
}
