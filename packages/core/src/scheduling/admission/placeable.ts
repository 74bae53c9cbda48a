/**
 * Whether any VM of the fleet could run the tasks of a job.
 *
 * @module
 */
import { type Fault, fault } from "../../fault.ts";
import { Err, Ok, type Result } from "../../result.ts";
import {
  type BatchJobSpec,
  reservation,
  type Resources,
  type StepSpec,
} from "../model/batch_job.ts";
import { covers } from "../model/resource_sum.ts";

/** What a VM offers to tasks, whether it runs now or not. */
export interface VmShape {
  capacity: Resources;
  /** Undefined if they are not known, so that it may have any. */
  labels: readonly string[] | undefined;
}

/** The distinct shapes of VMs. */
export class VmShapes {
  readonly #shapes = new Map<string, VmShape>();

  add({ capacity, labels }: VmShape): void {
    const { cpuMilli, memoryMb, gpus } = capacity;
    const key = JSON.stringify([cpuMilli, memoryMb, gpus, labels]);
    this.#shapes.set(key, { capacity, labels });
  }

  /** Refuses a job with a task that is larger than any of these VMs, or needs a label that none of them has. */
  check({ steps }: BatchJobSpec): Result<void, Fault> {
    const step = steps.findIndex((spec) => !this.#fits(spec));
    const spec = steps[step];
    return spec === undefined ? Ok.EMPTY : Err(
      fault("unplaceable", `No VM of the fleet has ${describe(spec)}`, {
        path: `steps[${step}]`,
        outcome: "not run",
        remedy: "Submit smaller tasks, or again when the fleet has such a VM",
      }),
    );
  }

  #fits(spec: StepSpec): boolean {
    for (const { capacity, labels } of this.#shapes.values()) {
      const hasLabel = spec.requiredLabel === "" || labels === undefined ||
        labels.includes(spec.requiredLabel);
      if (hasLabel && covers(capacity, reservation(spec))) {
        return true;
      }
    }
    return false;
  }
}

function describe(spec: StepSpec): string {
  const { cpuMilli, memoryMb, gpus } = reservation(spec);
  const label = spec.requiredLabel === ""
    ? ""
    : ` and the label "${spec.requiredLabel}"`;
  return `${cpuMilli} millicores, ${memoryMb} MB and ${gpus} GPUs for one task${label}`;
}
