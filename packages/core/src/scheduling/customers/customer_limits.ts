/**
 * Caps of customers: what each may have running across all queues and workers.
 *
 * A start must leave its customer within the cap in each limited resource. A customer that has nothing running may
 * start one task regardless, so that a task larger than the cap runs alone. A customer that the plan does not have, and
 * anonymous jobs, have no cap.
 *
 * @module
 */
import { type Fault, fault } from "../../fault.ts";
import { Err, Ok, type Result } from "../../result.ts";
import type { BatchJobSpec, Resources, StepSpec } from "../model/batch_job.ts";
import type { Customer } from "../model/customer.ts";
import type { CustomerUsage, Owner } from "./customer_usage.ts";
import { isNothing, NO_RESOURCES, plus } from "../model/resource_sum.ts";

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

/** The cap of one customer and what it uses, with the starts that were planned. */
export class CustomerLimit {
  readonly cap: Readonly<Resources>;
  #usage: Readonly<Resources>;
  #isHeld = false;

  constructor(cap: Readonly<Resources>, usage: Readonly<Resources>) {
    this.cap = cap;
    this.#usage = usage;
  }

  /** Whether the cap allows a gang when nothing else of its customer runs; a cap may be lowered below accepted gangs. */
  couldAllow({ demand, taskCount }: StepSpec): boolean {
    return startableTasks(NO_RESOURCES, demand, this.cap) >= taskCount;
  }

  /** Lets nothing more start in this pass, so that what runs makes room for a gang. */
  hold(): void {
    this.#isHeld = true;
  }

  /** Number of tasks out of `count` that may start; all or none for a gang. */
  startable({ gang, demand }: StepSpec, count: number): number {
    if (this.#isHeld) {
      return 0;
    }
    const allowed = startableTasks(this.#usage, demand, this.cap);
    if (allowed >= count) {
      return count;
    }
    return gang ? 0 : allowed;
  }

  /** Counts tasks that were planned and are not part of the usage yet. */
  addPlanned({ demand }: StepSpec, count: number): void {
    this.#usage = plus(this.#usage, demand, count);
  }
}

/** Limits of the customers of a plan, during one pass or command. */
export class CustomerLimits {
  readonly #limits: ReadonlyMap<string, CustomerLimit>;

  constructor(customers: readonly Customer[], usage: CustomerUsage) {
    this.#limits = new Map(
      customers.map(({ name, cap }) => [
        name,
        new CustomerLimit(cap, usage.of(name)),
      ]),
    );
  }

  /** The limit of a job's owner; undefined if it has no cap. */
  of(owner: Owner): CustomerLimit | undefined {
    return owner === undefined ? undefined : this.#limits.get(owner);
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
  const limit = new CustomerLimit(cap, NO_RESOURCES);
  const tooLarge = steps.findIndex((spec) =>
    spec.gang && limit.startable(spec, spec.taskCount) === 0
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
