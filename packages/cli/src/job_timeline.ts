/**
 * The timeline of one job from the logs of all nodes.
 *
 * @module
 */
import type { LogEvent } from "./log_line.ts";

/** Why an event is part of the timeline. */
export type Relation =
  /** It mentions the job. */
  | "job"
  /** It concerns a worker on which the job ran. */
  | "worker"
  /** It concerns the replica group: its leadership or membership, or the start or stop of a node. */
  | "group";

export type TimelineItem =
  | { kind: "event"; event: LogEvent; relation: Relation }
  /** A period without events of the job; `ms` is its length in milliseconds. */
  | { kind: "gap"; ms: number };

export interface JobTimeline {
  /** Wall-clock time of the first event of the job, in milliseconds. */
  from: number;
  items: TimelineItem[];
}

/** Events that can explain why all jobs paused. */
const GROUP_EVENTS: readonly string[] = [
  "raft.role",
  "tenure.started",
  "tenure.ended",
  "node.started",
  "node.stopping",
  "node.stopped",
  "node.failed",
  "group.lost",
  "group.reached",
  "replica.membership",
  "plan.replaced",
  "log.dropped",
];

/** How long before the first and after the last event of the job other events are included: the default worker lease. */
const CONTEXT_MS = 4_000;

/** Shortest gap that is shown. The scheduling passes of a healthy leader have a shorter interval. */
const MIN_GAP_MS = 500;

/** Delimits a job id within a value, because ids of steps and tasks, and request paths, contain it. */
const ID_DELIMITER = /[./?\s]/;

/** Collects the events that concern a job; undefined if none mentions it. */
export function buildJobTimeline(
  job: string,
  events: readonly LogEvent[],
): JobTimeline | undefined {
  const sortedEvents = [...events].sort((a, b) => a.at - b.at);
  const jobEvents = sortedEvents.filter((event) => mentions(event, job));
  const [first] = jobEvents;
  const last = jobEvents.at(-1);
  if (first === undefined || last === undefined) {
    return undefined;
  }
  const workers = new Set(jobEvents.flatMap(({ fields }) => {
    const worker = fields.get("worker");
    return worker === undefined ? [] : [worker];
  }));
  const items: TimelineItem[] = [];
  let lastJobEventAt = first.at;
  for (const event of sortedEvents) {
    const relation = relationOf(event, job, workers);
    const isNear = event.at >= first.at - CONTEXT_MS &&
      event.at <= last.at + CONTEXT_MS;
    if (relation === undefined || !isNear) {
      continue;
    }
    if (relation === "job") {
      const ms = event.at - lastJobEventAt;
      if (ms >= MIN_GAP_MS) {
        items.push({ kind: "gap", ms });
      }
      lastJobEventAt = event.at;
    }
    items.push({ kind: "event", event, relation });
  }
  return { from: first.at, items };
}

function relationOf(
  event: LogEvent,
  job: string,
  workers: ReadonlySet<string>,
): Relation | undefined {
  if (mentions(event, job)) {
    return "job";
  }
  const isWorkerEvent = event.event.startsWith("worker.") &&
    workers.has(event.fields.get("worker") ?? "");
  return isWorkerEvent
    ? "worker"
    : GROUP_EVENTS.includes(event.event)
    ? "group"
    : undefined;
}

function mentions({ fields }: LogEvent, job: string): boolean {
  return [...fields.values()].some((value) =>
    value.includes(job) && value.split(ID_DELIMITER).includes(job)
  );
}
