/**
 * Index of active jobs by pool, class, team and kind, and of runs by VM. It follows the feed of changed jobs, so a
 * pass does not read every job.
 *
 * @module
 */
import type { Priority } from "../names.ts";
import { type Job, type Jobs, kindKey } from "./job.ts";
import type { Size } from "./size.ts";

/** A job as it waits; no longer current once the job has changed. */
export interface Waiting {
  job: Job;
  current: boolean;
}

/** Waiting jobs of one team and kind, in order; entries that are not current are skipped. */
export interface Lane {
  team: string;
  key: string;
  items: Waiting[];
  live: number;
  /** Why the lane was left out last; cleared when a job enters. */
  blocked?: Block;
  /** Wall-clock time until which no job of the lane is pressing; cleared likewise. */
  calmUntil?: number;
}

/** The least that the first jobs of a lane need, when neither room nor quota was left for them. */
export interface Block {
  need: Size;
  /** Wall-clock time after which the jobs are looked at again. */
  until: number;
}

/** Waiting jobs of one pool and class by `team/kind`. */
export type Lanes = Map<string, Lane>;

const COMPACT_SLACK = 8;

/** The index of one replicated state. */
export class JobIndex {
  /** Runs on each VM, by job id. */
  readonly byVm = new Map<string, Map<string, Job>>();
  /** Jobs with a run, by kind. */
  readonly runsOfKind = new Map<string, Set<Job>>();
  /** VMs whose runs changed since the set was last emptied. */
  readonly touched = new Set<string>();
  #waiting = new Map<string, Map<Priority, Lanes>>();
  #known = new Map<string, Job>();
  #entries = new Map<string, Waiting>();
  #source: Jobs | undefined;
  #position = 0;

  /** Follows the changes since the last call and returns the ids of changed jobs. */
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

  /** The waiting jobs of a pool and class. */
  lanes(pool: string, priority: Priority): Lanes {
    return this.#waiting.get(pool)?.get(priority) ?? new Map();
  }

  /** Names of pools that have or had waiting jobs. */
  pools(): Iterable<string> {
    return this.#waiting.keys();
  }

  #rebuild(jobs: Jobs): void {
    this.#source = jobs;
    this.#known.clear();
    this.#entries.clear();
    this.#waiting.clear();
    this.byVm.clear();
    this.runsOfKind.clear();
    for (const job of Object.values(jobs.active)) {
      this.#add(job);
    }
  }

  #update(id: string, next: Job | undefined): void {
    const known = this.#known.get(id);
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
    this.#known.set(job.id, job);
    if (job.run === undefined) {
      const lane = this.#lane(job);
      const entry = { job, current: true };
      this.#entries.set(job.id, entry);
      insert(lane.items, entry);
      lane.blocked = undefined;
      lane.calmUntil = undefined;
      lane.live += 1;
      return;
    }
    const runs = this.byVm.get(job.run.vm) ?? new Map<string, Job>();
    this.byVm.set(job.run.vm, runs.set(job.id, job));
    this.touched.add(job.run.vm);
    this.#runsLike(job).add(job);
  }

  #remove(job: Job): void {
    this.#known.delete(job.id);
    if (job.run === undefined) {
      this.#leave(job);
      return;
    }
    this.byVm.get(job.run.vm)?.delete(job.id);
    this.touched.add(job.run.vm);
    this.#runsLike(job).delete(job);
  }

  #leave(job: Job): void {
    const lane = this.#lane(job);
    const entry = this.#entries.get(job.id);
    if (entry !== undefined) {
      entry.current = false;
      this.#entries.delete(job.id);
    }
    lane.live -= 1;
    if (lane.live === 0) {
      this.#lanes(job).delete(lane.key);
    } else if (lane.items.length > 2 * lane.live + COMPACT_SLACK) {
      lane.items = lane.items.filter((item) => item.current);
    }
  }

  #runsLike(job: Job): Set<Job> {
    const key = kindKey(job);
    const runs = this.runsOfKind.get(key) ?? new Set();
    this.runsOfKind.set(key, runs);
    return runs;
  }

  #lanes(job: Job): Lanes {
    let classes = this.#waiting.get(job.pool);
    if (classes === undefined) {
      classes = new Map();
      this.#waiting.set(job.pool, classes);
    }
    let lanes = classes.get(job.priority);
    if (lanes === undefined) {
      lanes = new Map();
      classes.set(job.priority, lanes);
    }
    return lanes;
  }

  #lane(job: Job): Lane {
    const lanes = this.#lanes(job);
    const key = kindKey(job);
    let lane = lanes.get(key);
    if (lane === undefined) {
      lane = { team: job.team, key, items: [], live: 0 };
      lanes.set(key, lane);
    }
    return lane;
  }
}

/** The order within a lane: overnight jobs by deadline, others by submission. */
export function rankOf(job: Job): number {
  return job.priority === "overnight"
    ? job.deadline ?? Number.MAX_SAFE_INTEGER
    : job.submittedAt;
}

function insert(items: Waiting[], entry: Waiting): void {
  const rank = rankOf(entry.job);
  const last = items.at(-1);
  if (last === undefined || rankOf(last.job) <= rank) {
    items.push(entry);
    return;
  }
  let low = 0;
  let high = items.length;
  while (low < high) {
    const middle = (low + high) >>> 1;
    const item = items[middle];
    if (item !== undefined && rankOf(item.job) <= rank) {
      low = middle + 1;
    } else {
      high = middle;
    }
  }
  items.splice(low, 0, entry);
}
