/**
 * Caps of customers: what each may have running across all queues and workers.
 *
 * A start must leave its customer within the cap in each limited resource. A customer that has nothing running may
 * start one task regardless, so that a task larger than the cap runs alone. A customer that the plan does not have, and
 * anonymous jobs, have no cap.
 *
 * @module
 */
import { type Fault, fault } from "../fault.ts";
import { Err, Ok, type Result } from "../result.ts";
import type { BatchJobSpec, Resources, StepSpec } from "./batch_job.ts";
import type { Customer } from "./customer.ts";
import type { CustomerUsage } from "./customer_usage.ts";
import type { JobRecord } from "./job_record.ts";
import { isNothing, NO_RESOURCES, plus } from "./resource_sum.ts";

/** A step and its job, as far as the cap of its customer concerns them. */
export interface CappedStep {
  job: Pick<JobRecord, "customer">;
  spec: StepSpec;
}

/** Whether a customer may start a task, given what its runs use. */
export function allowsStart(
  usage: Readonly<Resources>,
  demand: Readonly<Resources>,
  cap: Readonly<Resources>,
): boolean {
  return startableTasks(usage, demand, cap) > 0;
}

/** Number of equal tasks that a customer may start one after the other; Infinity without a limit. */
function startableTasks(
  usage: Readonly<Resources>,
  demand: Readonly<Resources>,
  cap: Readonly<Resources>,
): number {
  const count = Math.min(
    countWithin(usage.cpuMilli, demand.cpuMilli, cap.cpuMilli),
    countWithin(usage.memoryMb, demand.memoryMb, cap.memoryMb),
    countWithin(usage.gpus, demand.gpus, cap.gpus),
  );
  return count === 0 && isNothing(usage) ? 1 : count;
}

/** Number of tasks that keep one resource within its limit; 0 means no limit. */
function countWithin(used: number, each: number, limit: number): number {
  if (limit === 0) {
    return Infinity;
  }
  if (used > limit) {
    return 0;
  }
  return each === 0 ? Infinity : Math.floor((limit - used) / each);
}

/** Number of tasks out of `count` that may start; all or none for a gang. */
function startableOf(
  { gang, demand }: StepSpec,
  count: number,
  { usage, cap }: { usage: Readonly<Resources>; cap: Readonly<Resources> },
): number {
  const startable = Math.min(count, startableTasks(usage, demand, cap));
  return gang && startable < count ? 0 : startable;
}

/** Caps during one pass or command, with the starts that were planned in it. */
export class CustomerLimits {
  readonly #caps: ReadonlyMap<string, Resources>;
  readonly #usage: CustomerUsage;
  readonly #planned = new Map<string, Resources>();

  constructor(customers: readonly Customer[], usage: CustomerUsage) {
    this.#caps = new Map(customers.map(({ name, cap }) => [name, cap]));
    this.#usage = usage;
  }

  /** Number of tasks out of `count` that the cap allows to start; all or none for a gang. */
  startable({ job, spec }: CappedStep, count: number): number {
    const { customer = "" } = job;
    const cap = this.#caps.get(customer);
    if (cap === undefined) {
      return count;
    }
    const planned = this.#planned.get(customer);
    const running = this.#usage.of(customer);
    const usage = planned === undefined ? running : plus(running, planned, 1);
    return startableOf(spec, count, { usage, cap });
  }

  /** Counts tasks that were planned and are not part of the usage yet. */
  addPlanned({ job, spec }: CappedStep, count: number): void {
    const { customer } = job;
    if (customer !== undefined && this.#caps.has(customer) && count > 0) {
      const planned = this.#planned.get(customer) ?? NO_RESOURCES;
      this.#planned.set(customer, plus(planned, spec.demand, count));
    }
  }
}

/** Refuses a job with a gang that cannot fit the cap even when nothing else of its customer runs. */
export function checkGangs(
  { steps }: BatchJobSpec,
  customer: Customer | undefined,
): Result<void, Fault> {
  if (customer === undefined) {
    return Ok.EMPTY;
  }
  const { name, cap } = customer;
  const alone = { usage: NO_RESOURCES, cap };
  const tooLarge = steps.findIndex((spec) =>
    spec.gang && startableOf(spec, spec.taskCount, alone) === 0
  );
  if (tooLarge < 0) {
    return Ok.EMPTY;
  }
  return Err(
    fault(
      "over_quota",
      `The gang of step ${tooLarge} exceeds the cap of customer "${name}"`,
      {
        outcome: "not run",
        remedy: "Submit a smaller gang, or have the cap raised",
      },
    ),
  );
}
