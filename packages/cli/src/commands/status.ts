/**
 * `quetzalcove status`: an overview of the cluster.
 *
 * @module
 */
import { type EntryStatus, Status } from "@quetzalcove/core";
import type { Command, CommandResult, Invocation } from "../command.ts";
import {
  compareNames,
  formatDuration,
  formatFields,
  formatTable,
} from "../format.ts";

export const STATUS: Command = {
  name: "status",
  parameters: "",
  summary: "Show leader, versions, entries and counts",
  details: `
"version" counts accepted configuration changes. "revision" counts all changes that
entries must apply, drains included. A revision is in force once every entry with a valid
lease has reached it.`,
  options: [],
  examples: ["status", "status --json --admin 127.10.1.1:8081"],
  run,
};

async function run(invocation: Invocation): Promise<CommandResult> {
  const connected = invocation.connect();
  if (connected.err) {
    return connected;
  }
  const status = await connected.val.call({
    method: "GET",
    path: "/v1/status",
    answer: Status,
  });
  return status.map((data) => ({ text: describeStatus(data), data }));
}

/** Formats a status as human-readable text. */
export function describeStatus(status: Status): string {
  const { counts } = status;
  const fields = formatFields([
    ["cluster", status.cluster],
    ["answered by", `${status.entry} (zone ${status.zone})`],
    ["leader", `${status.leader ?? "none"} (term ${status.term})`],
    ["version", status.version],
    ["revision", describeRevision(status)],
    ["VMs", counts.vms],
    ["targets", counts.targets],
    ["requests running", counts.attemptsRunning],
    ["requests unknown", describeUnknown(counts.attemptsUnknown)],
    ["requests so far", describeRequests(status.requests)],
  ]);
  const rows = status.entries
    .toSorted((a, b) => compareNames(a.entry, b.entry))
    .map((entry) => [
      entry.entry,
      entry.zone,
      describeLease(entry),
      entry.revision,
      entry.incarnation,
    ]);
  return `${fields}\n${formatTable(COLUMNS, rows)}`;
}

const COLUMNS = [
  { heading: "ENTRY" },
  { heading: "ZONE" },
  { heading: "LEASE" },
  { heading: "REVISION", numeric: true },
  { heading: "INCARNATION", numeric: true },
];

function describeRevision(status: Status): string {
  return status.inForceRevision >= status.revision
    ? `${status.revision} (in force)`
    : `${status.revision} (in force: ${status.inForceRevision})`;
}

function describeUnknown(count: number): string {
  return count === 0 ? "0" : `${count} (see quetzalcove requests)`;
}

function describeRequests(requests: Record<string, number>): string {
  const outcomes = Object.entries(requests);
  return outcomes.length === 0
    ? "none"
    : outcomes.map(([outcome, count]) => `${count} ${outcome}`).join(", ");
}

function describeLease(entry: EntryStatus): string {
  const stopping = entry.stopping ? " (stopping)" : "";
  return entry.leaseMs > 0
    ? formatDuration(entry.leaseMs) + stopping
    : `ended ${formatDuration(-entry.leaseMs)} ago`;
}
