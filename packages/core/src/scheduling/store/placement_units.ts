/**
 * Runs of a placement that stand or fall together.
 *
 * @module
 */
import type { StepSpec } from "../model/batch_job.ts";
import type { RunKey } from "../model/command.ts";
import type { JobRecord } from "../model/job_record.ts";
import type { StepTasks } from "../model/step_tasks.ts";
import { stepName, type TaskPosition } from "../model/task_name.ts";

/** A run that may be placed, and what it belongs to. */
export interface PlaceableRun {
  key: RunKey;
  position: TaskPosition;
  job: JobRecord;
  /** Tasks of its step. */
  tasks: StepTasks;
  spec: StepSpec;
}

/** The runs of each gang, at the place of the first of them, and each other run alone. */
export function placementUnits(
  runs: readonly PlaceableRun[],
): PlaceableRun[][] {
  const units: PlaceableRun[][] = [];
  const gangs = new Map<string, PlaceableRun[]>();
  for (const run of runs) {
    const gang = `${stepName(run.position)} ${run.key.run}`;
    const unit = run.spec.gang ? gangs.get(gang) : undefined;
    if (unit !== undefined) {
      unit.push(run);
      continue;
    }
    const started = [run];
    units.push(started);
    if (run.spec.gang) {
      gangs.set(gang, started);
    }
  }
  return units;
}
