/**
 * `quetzalcove trace`: shows the spans of one request.
 *
 * @module
 */
import { type SpanView, Trace } from "@quetzalcove/core";
import type { Command, CommandResult, Invocation } from "../command.ts";
import { formatTable } from "../format.ts";

export const TRACE: Command = {
  name: "trace",
  parameters: "<id>",
  summary: "Show the hops of one request with their times",
  details: `
The id is in the header x-quetzalcove-trace of the answer. Daemons keep only the latest
spans in memory; the trace files and the OTLP receiver have them all.`,
  options: [],
  examples: ["trace 4bf92f3577b34da6a3ce929d0e0e4736"],
  run,
};

const COLUMNS = [
  { heading: "AT", numeric: true },
  { heading: "TOOK", numeric: true },
  { heading: "ENTRY" },
  { heading: "SPAN" },
  { heading: "ATTRIBUTES" },
];

async function run(invocation: Invocation): Promise<CommandResult> {
  const id = invocation.args[0] ?? "";
  const connected = invocation.connect();
  if (connected.err) {
    return connected;
  }
  const found = await connected.val.call({
    method: "GET",
    path: `/v1/traces/${encodeURIComponent(id)}`,
    answer: Trace,
  });
  return found.map((data) => ({ text: describeSpans(data.spans), data }));
}

function describeSpans(spans: readonly SpanView[]): string {
  if (spans.length === 0) {
    return "No spans are kept for this id\n";
  }
  const sorted = spans.toSorted((a, b) => a.startMs - b.startMs);
  const start = sorted[0]?.startMs ?? 0;
  const byId = new Map(sorted.map((span) => [span.span, span]));
  const rows = sorted.map((span) => [
    `${(span.startMs - start).toFixed(1)} ms`,
    `${span.durationMs.toFixed(1)} ms`,
    span.entry,
    "  ".repeat(depthOf(span, byId)) + span.name,
    describeAttributes(span.attributes),
  ]);
  return formatTable(COLUMNS, rows);
}

/** Limit on the nesting depth; it also ends the loop if parent ids form a cycle. */
const MAX_DEPTH = 16;

function depthOf(
  span: SpanView,
  byId: ReadonlyMap<string, SpanView>,
): number {
  let depth = 0;
  let parent = span.parent ? byId.get(span.parent) : undefined;
  while (parent !== undefined && depth < MAX_DEPTH) {
    depth += 1;
    parent = parent.parent ? byId.get(parent.parent) : undefined;
  }
  return depth;
}

function describeAttributes(attributes: Record<string, unknown>): string {
  return Object.entries(attributes)
    .map(([key, value]) =>
      `${key}=${typeof value === "string" ? value : JSON.stringify(value)}`
    )
    .join(" ");
}
