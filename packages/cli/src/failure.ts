/**
 * Failures of commands and their exit codes.
 *
 * @module
 */
import {
  Err,
  type Fault,
  fault,
  type FaultKind,
  type Result,
} from "@quetzalcove/core";
import { formatDuration } from "./format.ts";

/** Exit codes of the command-line tool, by reason. */
export const EXIT_CODES = {
  ok: 0,
  refused: 1,
  usage: 2,
  input: 3,
  unreachable: 4,
  timeout: 5,
  uncertain: 6,
} as const;

/** Descriptions of the exit codes in the help. */
export const EXIT_MEANINGS: Record<keyof typeof EXIT_CODES, string> = {
  ok: "done",
  refused: "refused by the system; nothing was changed",
  usage: "invalid command, argument or option",
  input: "an input file cannot be read or is invalid",
  unreachable: "no usable answer from any address; nothing was changed",
  timeout: "timed out while waiting; what was accepted stays accepted",
  uncertain: "the answer was lost; the change may have been made",
};

export type FailureReason = Exclude<keyof typeof EXIT_CODES, "ok">;

/** A fault with the reason that selects the exit code. */
export interface Failure {
  reason: FailureReason;
  fault: Fault;
}

/** A failed result. */
export function fail(
  reason: FailureReason,
  cause: Fault,
): Result<never, Failure> {
  return Err({ reason, fault: cause });
}

/** The failure for an invalid command line. */
export function usageFailure(message: string, remedy?: string): Failure {
  return { reason: "usage", fault: fault("invalid", message, { remedy }) };
}

/** Turns the fault of a result into a failure with the given reason. */
export function withReason<T>(
  reason: FailureReason,
  result: Result<T, Fault>,
): Result<T, Failure> {
  return result.mapErr((cause) => ({ reason, fault: cause }));
}

/** Limit on the causes printed for one fault. */
const MAX_PRINTED_CAUSES = 20;

/** Remedies for faults that have none. */
const DEFAULT_REMEDIES: Partial<Record<FaultKind, string>> = {
  no_leader:
    "Try again shortly; quetzalcove init starts a new cluster, and without a majority of replicas no change is accepted",
  not_leader:
    "Try again shortly; quetzalcove init starts a new cluster that never ran",
};

/** Formats a failure as human-readable text. */
export function describeFailure(failure: Failure): string {
  const { kind, message, causes = [], retryAfterMs } = failure.fault;
  const remedy = failure.fault.remedy ?? DEFAULT_REMEDIES[kind];
  const lines = [`quetzalcove: ${messageWithoutCauses(message, causes)}`];
  if (causes.length > 1) {
    for (const cause of causes.slice(0, MAX_PRINTED_CAUSES)) {
      lines.push(`  ${cause.path}: ${cause.message}`);
    }
  }
  if (causes.length > MAX_PRINTED_CAUSES) {
    lines.push(`  ... and ${causes.length - MAX_PRINTED_CAUSES} more`);
  }
  if (remedy !== undefined) {
    lines.push(`  Remedy: ${remedy}`);
  }
  if (retryAfterMs !== undefined) {
    lines.push(`  Try again in ${formatDuration(retryAfterMs)}`);
  }
  return `${lines.join("\n")}\n`;
}

/** The message without its first cause if there are several causes, which are then listed below it. */
function messageWithoutCauses(
  message: string,
  causes: Fault["causes"] = [],
): string {
  const [first, second] = causes;
  const repeated = `${first?.path}: ${first?.message}`;
  const start = second === undefined ? -1 : message.indexOf(repeated);
  return start > 0 ? message.slice(0, start).trimEnd() : message;
}

/** Whether the fault concerns only the daemon that reported it, so that another address may succeed. */
export function isAddressSpecific(kind: FaultKind): boolean {
  return ADDRESS_SPECIFIC_KINDS.includes(kind);
}

/** Whether a change that failed with this fault may still have been made. */
export function mayHaveRun(cause: Fault): boolean {
  return cause.outcome === "unknown" ||
    cause.outcome !== "not run" && UNCERTAIN_KINDS.includes(cause.kind);
}

const UNCERTAIN_KINDS: readonly FaultKind[] = [
  "timeout",
  "internal",
  "storage",
  "unknown_outcome",
  "unreachable",
  "no_leader",
  "not_leader",
];

const ADDRESS_SPECIFIC_KINDS: readonly FaultKind[] = [
  "no_leader",
  "not_leader",
  "no_lease",
  "stopping",
];
