/**
 * The story of one job over the logs of all nodes.
 *
 * @module
 */
import type { LogEvent } from "./log_line.ts";

/** Why an event belongs to the story. */
export type Relation =
  /** It names the job. */
  | "job"
  /** It is of a worker on which the job ran. */
  | "worker"
  /** It tells who led, or that a node started or stopped. */
  | "group";

export type TimelineItem =
  | { kind: "event"; event: LogEvent; relation: Relation }
  /** A time without any event of the job, in milliseconds. */
  | { kind: "gap"; ms: number };

export interface JobTimeline {
  /** Time of the first event of the job, in milliseconds. */
  from: number;
  chapters: TimelineItem[];
}

/** Events that explain a pause of every job. */
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

/** Time around the job's own events in which workers and the group matter, in milliseconds: one lease. */
const CONTEXT_MS = 4_000;

/** Shortest pause that is named, in milliseconds: above the rounds of a healthy group. */
const MIN_GAP_MS = 500;

/** What ends a job's id within a value: the name of a step or task goes on, or a path does. */
const ID_DELIMITER = /[./?\s]/;

/** Collects what concerns a job; undefined when no event names it. */
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
  const chapters: TimelineItem[] = [];
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
        chapters.push({ kind: "gap", ms });
      }
      lastJobEventAt = event.at;
    }
    chapters.push({ kind: "event", event, relation });
  }
  return { from: first.at, chapters };
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
