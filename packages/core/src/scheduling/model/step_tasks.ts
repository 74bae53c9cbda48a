/**
 * The tasks of one step of a round.
 *
 * A job may have millions of tasks, of which few run at a time. Only a task that has run and is not settled has a record
 * of its own, so that memory and the work of a command depend on what runs, not on the size of the job.
 *
 * @module
 */
import { IndexSet } from "./index_set.ts";
import type { RunKey } from "./command.ts";
import { RANGE_BYTES, RUN_BYTES, TASK_BYTES } from "./memory_size.ts";
import type { Suspicion, TaskRecord } from "./task_record.ts";

const NEW_TASK: Readonly<TaskRecord> = Object.freeze({
  run: 0,
  failures: 0,
  isDone: false,
  checkpoint: "",
  worker: undefined,
});

/** A task that is done and whose runs have all ended. */
const SETTLED_TASK: Readonly<TaskRecord> = Object.freeze({
  ...NEW_TASK,
  isDone: true,
});

/** Stored form: what differs from a step of new tasks. */
export interface StepTasksRecord {
  count: number;
  /** Bounds of the ranges of tasks that are done. */
  done: number[];
  /** Tasks that have run and are not settled, by index. */
  tasks: [number, TaskRecord][];
  failures?: number | undefined;
  lastFailedRun?: number | undefined;
  checkpoint?: string | undefined;
}

/** Earlier versions stored the list of all tasks. */
export type StoredStepTasks = StepTasksRecord | readonly TaskRecord[];

export class StepTasks {
  /** Number of tasks. */
  readonly length: number;
  /** Indices of the unfinished tasks without an active run. */
  readonly waiting: IndexSet;
  readonly #done: IndexSet;
  readonly #records = new Map<number, TaskRecord>();
  #activeRuns = 0;
  /** Length of the checkpoints in the records. */
  #checkpointBytes = 0;
  /** Failed runs of all tasks; of a gang's run only the first failure counts. */
  #failures = 0;
  /** Highest number of a failed run. */
  #lastFailedRun = 0;
  /** Latest checkpoint of any member of a gang, all of which resume from it; empty for none. */
  #gangCheckpoint = "";

  constructor(length: number, done: readonly number[] = []) {
    this.length = length;
    this.#done = new IndexSet(done);
    this.waiting = complement(done, length);
  }

  /** Restores the tasks from their stored form. */
  static restore(stored: StoredStepTasks): StepTasks {
    if ("count" in stored) {
      const tasks = new StepTasks(stored.count, stored.done);
      stored.tasks.forEach(([index, task]) => tasks.#restore(index, task));
      tasks.#failures = stored.failures ?? 0;
      tasks.#lastFailedRun = stored.lastFailedRun ?? 0;
      tasks.#gangCheckpoint = stored.checkpoint ?? "";
      return tasks;
    }
    const tasks = new StepTasks(stored.length);
    stored.forEach((task, index) => {
      if (task.isDone) {
        tasks.#done.add(index);
        tasks.waiting.delete(index);
      }
      const isNew = task.run === 0 && task.checkpoint === "";
      if (!isNew && (!task.isDone || task.worker !== undefined)) {
        tasks.#restore(index, task);
      }
      tasks.#failures += task.failures;
      tasks.#lastFailedRun = Math.max(
        tasks.#lastFailedRun,
        task.lastFailure?.run ?? 0,
      );
    });
    return tasks;
  }

  /** Number of unfinished tasks. */
  get left(): number {
    return this.length - this.#done.size;
  }

  /** Tasks that have run and are not settled, by index. */
  get records(): ReadonlyMap<number, Readonly<TaskRecord>> {
    return this.#records;
  }

  /** Estimated size in memory of what has run and is not settled. */
  get bytes(): number {
    const ranges = this.#done.ranges + this.waiting.ranges;
    return TASK_BYTES * this.#records.size + RUN_BYTES * this.#activeRuns +
      RANGE_BYTES * ranges + this.#checkpointBytes +
      this.#gangCheckpoint.length;
  }

  at(index: number): Readonly<TaskRecord> | undefined {
    const record = this.#records.get(index);
    if (record !== undefined) {
      return record;
    }
    if (!Number.isInteger(index) || index < 0 || index >= this.length) {
      return undefined;
    }
    return this.#done.has(index) ? SETTLED_TASK : NEW_TASK;
  }

  /** Whether a waiting task among the given ones has failed on a worker or may have crashed one. */
  hasFaulty(indices: { has(index: number): boolean }): boolean {
    return this.#someWaiting(
      indices,
      ({ lastFailure, suspicion }) =>
        lastFailure !== undefined || suspicion !== undefined,
    );
  }

  /** Whether a waiting task among the given ones may have crashed a worker. */
  hasSuspects(indices: { has(index: number): boolean }): boolean {
    return this.#someWaiting(
      indices,
      ({ suspicion }) => suspicion !== undefined,
    );
  }

  /** Highest run number of any task that is not settled. */
  get highestRun(): number {
    let highest = 0;
    for (const { run } of this.#records.values()) {
      highest = Math.max(highest, run);
    }
    return highest;
  }

  /** Assigns a run of a task to a worker. */
  start(index: number, { run, worker }: Pick<RunKey, "run" | "worker">): void {
    const record = this.#edit(index);
    this.#activeRuns += record.worker === undefined ? 1 : 0;
    record.run = run;
    record.worker = worker;
    this.waiting.delete(index);
  }

  /** Records that the active run of a task has ended; the task waits again unless it is done. */
  release(index: number): void {
    const record = this.#edit(index);
    this.#activeRuns -= record.worker === undefined ? 0 : 1;
    record.worker = undefined;
    if (record.isDone) {
      this.#delete(index);
    } else {
      this.waiting.add(index);
    }
  }

  /** Records that a task is done; returns whether it was not done before. */
  complete(index: number): boolean {
    if (!this.#done.add(index)) {
      return false;
    }
    this.waiting.delete(index);
    const record = this.#records.get(index);
    if (record?.worker === undefined) {
      this.#delete(index);
    } else {
      record.isDone = true;
    }
    return true;
  }

  /** The checkpoint from which the next run of a task resumes; empty for none. */
  checkpointOf(index: number): string {
    return this.#gangCheckpoint || (this.at(index)?.checkpoint ?? "");
  }

  /** Sets the checkpoint from which the next run of an unfinished task, or of its gang, resumes. */
  saveCheckpoint(index: number, checkpoint: string, gang: boolean): void {
    if (gang) {
      this.#gangCheckpoint = checkpoint;
    } else if (!this.#done.has(index)) {
      const record = this.#edit(index);
      this.#checkpointBytes += checkpoint.length - record.checkpoint.length;
      record.checkpoint = checkpoint;
    }
  }

  /**
   * Counts the failure of a task's active run. In a gang, whose members share run numbers, another member's failure of the
   * same run counts already. Returns the failures of the task, or of the gang.
   */
  fail(
    index: number,
    { run, worker }: Pick<RunKey, "run" | "worker">,
    { gang, atMs }: { gang: boolean; atMs: number },
  ): number {
    const record = this.#edit(index);
    const isCounted = gang && this.#lastFailedRun === run;
    record.suspicion = undefined;
    record.lastFailure = { run, worker, atMs };
    record.failures += isCounted ? 0 : 1;
    this.#failures += isCounted ? 0 : 1;
    this.#lastFailedRun = Math.max(this.#lastFailedRun, run);
    return gang ? this.#failures : record.failures;
  }

  /** Sets or clears the suspicion that a task with an active run crashed its worker. */
  setSuspicion(index: number, suspicion: Suspicion | undefined): void {
    this.#edit(index).suspicion = suspicion;
  }

  toJSON(): StepTasksRecord {
    return {
      count: this.length,
      done: this.#done.toJSON(),
      tasks: [...this.#records].sort(([a], [b]) => a - b),
      failures: this.#failures || undefined,
      lastFailedRun: this.#lastFailedRun || undefined,
      checkpoint: this.#gangCheckpoint || undefined,
    };
  }

  #restore(index: number, task: TaskRecord): void {
    this.#records.set(index, task);
    this.#checkpointBytes += task.checkpoint.length;
    if (task.worker !== undefined) {
      this.#activeRuns += 1;
      this.waiting.delete(index);
    }
  }

  #delete(index: number): void {
    this.#checkpointBytes -= this.#records.get(index)?.checkpoint.length ?? 0;
    this.#records.delete(index);
  }

  #edit(index: number): TaskRecord {
    let record = this.#records.get(index);
    if (record === undefined) {
      record = { ...(this.#done.has(index) ? SETTLED_TASK : NEW_TASK) };
      this.#records.set(index, record);
    }
    return record;
  }

  #someWaiting(
    indices: { has(index: number): boolean },
    matches: (task: TaskRecord) => boolean,
  ): boolean {
    for (const [index, task] of this.#records) {
      if (
        task.worker === undefined && matches(task) && indices.has(index)
      ) {
        return true;
      }
    }
    return false;
  }
}

/** The indices below a count that are in none of the given ranges. */
function complement(bounds: readonly number[], count: number): IndexSet {
  const gaps = [0, ...bounds, count];
  const kept: number[] = [];
  for (let i = 0; i < gaps.length; i += 2) {
    if (gaps[i]! < gaps[i + 1]!) {
      kept.push(gaps[i]!, gaps[i + 1]!);
    }
  }
  return new IndexSet(kept);
}
