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

export type Chapter =
  | { kind: "event"; event: LogEvent; relation: Relation }
  /** A time without any event of the job, in milliseconds. */
  | { kind: "gap"; ms: number };

export interface Story {
  /** Time of the first event of the job, in milliseconds. */
  from: number;
  chapters: Chapter[];
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
const AROUND_MS = 4_000;

/** Shortest pause that is named, in milliseconds: above the rounds of a healthy group. */
const GAP_MS = 500;

/** What ends a job's id within a value: the name of a step or task goes on, or a path does. */
const TOKEN_END = /[./?\s]/;

/** Collects what concerns a job; undefined when no event names it. */
export function storyOf(
  job: string,
  events: readonly LogEvent[],
): Story | undefined {
  const inOrder = [...events].sort((a, b) => a.at - b.at);
  const own = inOrder.filter((event) => names(event, job));
  const [first] = own;
  const last = own.at(-1);
  if (first === undefined || last === undefined) {
    return undefined;
  }
  const workers = new Set(own.flatMap(({ fields }) => {
    const worker = fields.get("worker");
    return worker === undefined ? [] : [worker];
  }));
  const chapters: Chapter[] = [];
  let quietSince = first.at;
  for (const event of inOrder) {
    const relation = relationOf(event, job, workers);
    const isNear = event.at >= first.at - AROUND_MS &&
      event.at <= last.at + AROUND_MS;
    if (relation === undefined || !isNear) {
      continue;
    }
    if (relation === "job") {
      const ms = event.at - quietSince;
      if (ms >= GAP_MS) {
        chapters.push({ kind: "gap", ms });
      }
      quietSince = event.at;
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
  if (names(event, job)) {
    return "job";
  }
  const isOfWorker = event.event.startsWith("worker.") &&
    workers.has(event.fields.get("worker") ?? "");
  return isOfWorker
    ? "worker"
    : GROUP_EVENTS.includes(event.event)
    ? "group"
    : undefined;
}

function names({ fields }: LogEvent, job: string): boolean {
  return [...fields.values()].some((value) =>
    value.includes(job) && value.split(TOKEN_END).includes(job)
  );
}
