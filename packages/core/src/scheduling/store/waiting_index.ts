/**
 * Index of the steps with tasks that may be placed.
 *
 * @module
 */
import type {
  JobRecord,
  RoundRecord,
  WaitingStep,
} from "../model/job_record.ts";
import { stepName } from "../model/task_name.ts";

export class WaitingIndex {
  /** Waiting steps by name, oldest first. */
  readonly steps = new Map<string, WaitingStep>();

  /** Lists a step if its dependencies are done and one of its unfinished tasks has no active run. */
  update(job: JobRecord, round: number, step: number): void {
    const record = job.rounds[round];
    const spec = job.spec?.steps[step];
    const indices = record?.tasks[step]?.waiting;
    if (record === undefined || spec === undefined || indices === undefined) {
      return;
    }
    const name = stepName({ job: job.id, round, step });
    if (indices.size === 0) {
      this.steps.delete(name);
      return;
    }
    // A step that is listed stays so while tasks of it wait, since its dependencies stay done.
    const isListed = this.steps.has(name);
    if (!isListed && spec.dependsOn.every((other) => isDone(record, other))) {
      this.steps.set(name, { name, job, round, step, spec, indices });
    }
  }

  removeStep(job: JobRecord, round: number, step: number): void {
    this.steps.delete(stepName({ job: job.id, round, step }));
  }
}

function isDone({ tasks }: RoundRecord, step: number): boolean {
  return tasks[step]?.left === 0;
}
