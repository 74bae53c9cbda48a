/**
 * Runs on one worker and the resources that they reserve.
 *
 * @module
 */
import {
  reservation,
  type Resources,
  type StepSpec,
} from "../model/batch_job.ts";
import type { RunRecord } from "../model/job_record.ts";
import { addInPlace, NO_RESOURCES } from "../model/resource_sum.ts";
import { stepName } from "../model/task_name.ts";

export class WorkerLoad {
  readonly runs = new Map<string, RunRecord>();
  /** Resources that the runs reserve. */
  readonly reserved: Resources = { ...NO_RESOURCES };
  /** The part of `reserved` that long-running tasks keep. */
  readonly reservedForGood: Resources = { ...NO_RESOURCES };
  /** Number of runs of long-running tasks. */
  lastingRuns = 0;
  latencySensitiveRuns = 0;
  bestEffortRuns = 0;
  readonly #byStep = new Map<string, number>();

  add(run: RunRecord, spec: StepSpec): void {
    this.runs.set(run.task, run);
    this.#count(run, spec, 1);
  }

  remove(run: RunRecord, spec: StepSpec): void {
    this.runs.delete(run.task);
    this.#count(run, spec, -1);
  }

  /** Number of runs of one step of one round. */
  runsOfStep(name: string): number {
    return this.#byStep.get(name) ?? 0;
  }

  #count(run: RunRecord, spec: StepSpec, by: 1 | -1): void {
    addInPlace(this.reserved, reservation(spec), by);
    if (spec.lasting) {
      addInPlace(this.reservedForGood, reservation(spec), by);
      this.lastingRuns += by;
    }
    this.latencySensitiveRuns += spec.targetLatencyMs > 0 ? by : 0;
    this.bestEffortRuns += spec.fills ? by : 0;
    const name = stepName(run);
    const left = this.runsOfStep(name) + by;
    if (left > 0) {
      this.#byStep.set(name, left);
    } else {
      this.#byStep.delete(name);
    }
  }
}
