/**
 * Index of the steps with tasks that may be placed.
 *
 * @module
 */
import type { JobRecord, WaitingStep } from "../model/job_record.ts";
import { stepName, type TaskPosition } from "../model/task_name.ts";

export class WaitingIndex {
  /** Waiting steps by name, oldest first. */
  readonly steps = new Map<string, WaitingStep>();

  /** Lists a step if its dependencies are done and one of its unfinished tasks has no active run. */
  update(job: JobRecord, round: number, step: number): void {
    const record = job.rounds[round];
    const spec = job.spec?.steps[step];
    if (record === undefined || spec === undefined) {
      return;
    }
    if (spec.dependsOn.some((other) => record.left[other] !== 0)) {
      return;
    }
    const tasks = record.tasks[step] ?? [];
    const indices = new Set<number>();
    tasks.forEach((task, index) => {
      if (!task.isDone && task.worker === undefined) {
        indices.add(index);
      }
    });
    const name = stepName({ job: job.id, round, step });
    if (indices.size > 0) {
      this.steps.set(name, { name, job, round, step, spec, indices });
    } else {
      this.steps.delete(name);
    }
  }

  /** Removes a task that was placed, and its step after the last one. */
  removeTask(position: TaskPosition): void {
    const name = stepName(position);
    const waiting = this.steps.get(name);
    if (waiting?.indices.delete(position.index) && waiting.indices.size === 0) {
      this.steps.delete(name);
    }
  }

  removeStep(job: JobRecord, round: number, step: number): void {
    this.steps.delete(stepName({ job: job.id, round, step }));
  }
}
