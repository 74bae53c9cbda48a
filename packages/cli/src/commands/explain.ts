/**
 * `quetzalcove explain`: tells from the logs of all nodes what became of a job.
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
  summary: "Tell from the logs of all nodes what became of a job",
  details: `
Reads every file of a folder that holds the logs of the nodes, and shows what names the
job, in the order of the nodes' clocks: requests, placements, runs, its end. Beside them
stand the events of the workers on which it ran, and who led when. A time in which
nothing happened to the job is shown as a gap.`,
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
        fault("not_found", `No line names job "${job}" in ${where}`, {
          remedy: "Give the logs of all nodes, entries and replicas",
        }),
      );
    }
    return Ok({
      text: describeTimeline(timeline) + describeUnreadable(unreadable),
      data: { job, unreadable, chapters: timeline.chapters.map(dataOf) },
    });
  });
}

interface Logs {
  events: LogEvent[];
  files: number;
  /** Lines that are no events: output of other programs, or cut off. */
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

function describeTimeline({ from, chapters }: JobTimeline): string {
  const start = new Date(from).toISOString();
  const rows = chapters.map((chapter) => rowOf(chapter, from));
  const table = formatTable(
    [
      { heading: "AFTER", numeric: true },
      { heading: "NODE" },
      { heading: "EVENT" },
      { heading: "DETAILS" },
    ],
    rows,
  );
  return `First named at ${start}\n${table}`;
}

function rowOf(chapter: TimelineItem, from: number): string[] {
  if (chapter.kind === "gap") {
    return ["", "", `-- nothing for ${formatDuration(chapter.ms)}`, ""];
  }
  const { at, node, event, fields } = chapter.event;
  const details = [...fields].map(([key, value]) => `${key}=${value}`);
  return [`${at - from} ms`, node, event, details.join(" ")];
}

function describeUnreadable(lines: number): string {
  return lines === 0
    ? ""
    : `${formatCount(lines, "line")} could not be read as events\n`;
}

function dataOf(chapter: TimelineItem): unknown {
  if (chapter.kind === "gap") {
    return chapter;
  }
  const { at, node, event, fields } = chapter.event;
  return {
    kind: "event",
    relation: chapter.relation,
    at,
    node,
    event,
    fields: Object.fromEntries(fields),
  };
}
