/**
 * What runs on one worker, and the room that it reserves.
 *
 * @module
 */
import { reservation, type Resources, type StepSpec } from "./batch_job.ts";
import type { RunRecord } from "./job_record.ts";
import { stepName } from "./task_name.ts";

export class WorkerLoad {
  readonly runs = new Map<string, RunRecord>();
  /** Room that runs reserve. */
  readonly reserved: Resources = { cpuMilli: 0, memoryMb: 0, gpus: 0 };
  /** Runs of tasks that serve, and of tasks that fill. */
  serving = 0;
  filling = 0;
  readonly #byStep = new Map<string, number>();

  add(run: RunRecord, spec: StepSpec): void {
    this.runs.set(run.task, run);
    this.#count(run, spec, 1);
  }

  remove(run: RunRecord, spec: StepSpec): void {
    this.runs.delete(run.task);
    this.#count(run, spec, -1);
  }

  /** Runs of one step of one round. */
  ofStep(name: string): number {
    return this.#byStep.get(name) ?? 0;
  }

  #count(run: RunRecord, spec: StepSpec, by: 1 | -1): void {
    const { cpuMilli, memoryMb, gpus } = reservation(spec);
    this.reserved.cpuMilli += by * cpuMilli;
    this.reserved.memoryMb += by * memoryMb;
    this.reserved.gpus += by * gpus;
    this.serving += spec.targetLatencyMs > 0 ? by : 0;
    this.filling += spec.fills ? by : 0;
    const name = stepName(run);
    const left = this.ofStep(name) + by;
    if (left > 0) {
      this.#byStep.set(name, left);
    } else {
      this.#byStep.delete(name);
    }
  }
}
