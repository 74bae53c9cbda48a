/**
 * Index of waiting jobs by pool, priority, team and kind, and of placed jobs by VM and kind. It is updated from the
 * feed of changed jobs, so a pass does not read every job.
 *
 * @module
 */
import type { Priority } from "../names.ts";
import { type Job, type Jobs, kindKey } from "./job.ts";
import type { Size } from "./size.ts";

/** A queued job; no longer current once the job has changed. */
export interface QueueEntry {
  job: Job;
  current: boolean;
}

/** Waiting jobs of one pool, priority, team and kind, in order; entries that are not current are skipped. */
export interface JobQueue {
  team: string;
  key: string;
  entries: QueueEntry[];
  currentCount: number;
  /** Set when the first jobs could not be placed; cleared when a job is added. */
  backoff?: Backoff;
  /** Wall-clock time of the next check for jobs near their deadline; cleared when a job is added. */
  deadlineCheckAt?: number;
}

/** Back-off of a queue whose first jobs did not fit; `need` is the component-wise minimum of their sizes. */
export interface Backoff {
  need: Size;
  /** Wall-clock time after which the jobs are tried again, whether or not `need` fits. */
  until: number;
}

/** Queues of one pool and priority by `team/kind`. */
export type JobQueues = Map<string, JobQueue>;

const COMPACTION_SLACK_ENTRIES = 8;

/** Index of the jobs of one replicated state. */
export class JobIndex {
  /** Jobs with a run on each VM, by VM name and job id. */
  readonly byVm = new Map<string, Map<string, Job>>();
  /** Jobs with a run, by `team/kind`. */
  readonly runsOfKind = new Map<string, Set<Job>>();
  /** VMs whose runs or reports changed since the set was last cleared. */
  readonly changedVms = new Set<string>();
  #waiting = new Map<string, Map<Priority, JobQueues>>();
  #indexed = new Map<string, Job>();
  #entries = new Map<string, QueueEntry>();
  #source: Jobs | undefined;
  #position = 0;

  /**
   * Applies the changes since the last call and returns the ids of changed jobs. The index is rebuilt when `jobs` is
   * another object or its feed has dropped changes that were not applied yet.
   */
  sync(jobs: Jobs): string[] {
    const end = jobs.feed.from + jobs.feed.ids.length;
    if (this.#source !== jobs || this.#position < jobs.feed.from) {
      this.#rebuild(jobs);
      this.#position = end;
      return Object.keys(jobs.active);
    }
    const changed = jobs.feed.ids.slice(this.#position - jobs.feed.from);
    this.#position = end;
    for (const id of changed) {
      this.#update(id, jobs.active[id]);
    }
    return changed;
  }

  /** Number of waiting jobs. */
  get waiting(): number {
    return this.#entries.size;
  }

  /** Queues of a pool and priority. */
  queues(pool: string, priority: Priority): JobQueues {
    return this.#waiting.get(pool)?.get(priority) ?? new Map();
  }

  /** Names of pools that have or had waiting jobs. */
  pools(): Iterable<string> {
    return this.#waiting.keys();
  }

  #rebuild(jobs: Jobs): void {
    this.#source = jobs;
    this.#indexed.clear();
    this.#entries.clear();
    this.#waiting.clear();
    this.byVm.clear();
    this.runsOfKind.clear();
    for (const job of Object.values(jobs.active)) {
      this.#add(job);
    }
  }

  #update(id: string, next: Job | undefined): void {
    const known = this.#indexed.get(id);
    if (known === next) {
      return;
    }
    if (known !== undefined) {
      this.#remove(known);
    }
    if (next !== undefined) {
      this.#add(next);
    }
  }

  #add(job: Job): void {
    this.#indexed.set(job.id, job);
    if (job.run === undefined) {
      const queue = this.#queue(job);
      const entry = { job, current: true };
      this.#entries.set(job.id, entry);
      insert(queue.entries, entry);
      queue.backoff = undefined;
      queue.deadlineCheckAt = undefined;
      queue.currentCount += 1;
      return;
    }
    const runs = this.byVm.get(job.run.vm) ?? new Map<string, Job>();
    this.byVm.set(job.run.vm, runs.set(job.id, job));
    this.changedVms.add(job.run.vm);
    this.#runsOfSameKind(job).add(job);
  }

  #remove(job: Job): void {
    this.#indexed.delete(job.id);
    if (job.run === undefined) {
      this.#dequeue(job);
      return;
    }
    this.byVm.get(job.run.vm)?.delete(job.id);
    this.changedVms.add(job.run.vm);
    this.#runsOfSameKind(job).delete(job);
  }

  #dequeue(job: Job): void {
    const queue = this.#queue(job);
    const entry = this.#entries.get(job.id);
    if (entry !== undefined) {
      entry.current = false;
      this.#entries.delete(job.id);
    }
    queue.currentCount -= 1;
    if (queue.currentCount === 0) {
      this.#queues(job).delete(queue.key);
    } else if (
      queue.entries.length > 2 * queue.currentCount + COMPACTION_SLACK_ENTRIES
    ) {
      queue.entries = queue.entries.filter((entry) => entry.current);
    }
  }

  #runsOfSameKind(job: Job): Set<Job> {
    const key = kindKey(job);
    const runs = this.runsOfKind.get(key) ?? new Set();
    this.runsOfKind.set(key, runs);
    return runs;
  }

  #queues(job: Job): JobQueues {
    let byPriority = this.#waiting.get(job.pool);
    if (byPriority === undefined) {
      byPriority = new Map();
      this.#waiting.set(job.pool, byPriority);
    }
    let queues = byPriority.get(job.priority);
    if (queues === undefined) {
      queues = new Map();
      byPriority.set(job.priority, queues);
    }
    return queues;
  }

  #queue(job: Job): JobQueue {
    const queues = this.#queues(job);
    const key = kindKey(job);
    let queue = queues.get(key);
    if (queue === undefined) {
      queue = { team: job.team, key, entries: [], currentCount: 0 };
      queues.set(key, queue);
    }
    return queue;
  }
}

/** Sort key within a queue: the deadline of overnight jobs, the time of submission of others. */
export function orderOf(job: Job): number {
  return job.priority === "overnight"
    ? job.deadline ?? Number.MAX_SAFE_INTEGER
    : job.submittedAt;
}

function insert(entries: QueueEntry[], entry: QueueEntry): void {
  const order = orderOf(entry.job);
  const last = entries.at(-1);
  if (last === undefined || orderOf(last.job) <= order) {
    entries.push(entry);
    return;
  }
  let low = 0;
  let high = entries.length;
  while (low < high) {
    const middle = (low + high) >>> 1;
    const item = entries[middle];
    if (item !== undefined && orderOf(item.job) <= order) {
      low = middle + 1;
    } else {
      high = middle;
    }
  }
  entries.splice(low, 0, entry);
}
