/**
 * Whether a customer's submission is accepted while its pool is full.
 *
 * A customer may count on `weight` jobs per second. What it submits beyond that is accepted as long as the pool can
 * start it in time, and refused otherwise, so that it does not delay the jobs of other customers.
 *
 * @module
 */
import type { SubmittedJob } from "../model/command.ts";
import type { Customer } from "../model/customer.ts";
import { CustomerRates, RATE_WINDOW_MS } from "../customers/customer_rates.ts";
import { newJob } from "../model/job_record.ts";
import type { Queue } from "../model/queue_plan.ts";
import { RetrySlots } from "./retry_slots.ts";
import { objectiveDeadline } from "../order/urgency.ts";
import type { WorkEstimate } from "../order/work_estimate.ts";

/** Burst that a customer may submit beyond its weight, in seconds of its weight. */
const BURST_S = 1;

/** Least burst, in standard deviations of a Poisson process, so that random arrivals at the weight are within it. */
const MIN_BURST_DEVIATIONS = 3;

const MS_PER_S = 1_000;

/** Bounds of the time between two retries of a customer: a placement pass, and a twentieth of the shortest spread. */
const MIN_RETRY_SPACING_MS = 20;
const MAX_RETRY_SPACING_MS = 100;

/** Pairs of customer and pool whose retries are spread; several times those of a deployment. */
const MAX_RETRY_KEYS = 4_096;

/** A submission of a customer. */
export interface Submission {
  customer: Pick<Customer, "name" | "weight">;
  pool: string;
  /** Time for which the job may wait and still meet its objective, in milliseconds; negative if it is late already. */
  slackMs: number;
}

/** State of the pool of a submission. */
export interface AdmissionBacklog {
  /** Expected time until everything that waits in the pool has started, in milliseconds. */
  waitMs: number;
  /** Time in which the customer's share of the pool works off a job like the submitted one, in milliseconds. */
  drainMs: number;
}

export type AdmissionDecision =
  | { kind: "accept" }
  | { kind: "refuse"; retryAfterMs: number };

/** Admission decisions of one leadership term. */
export class CustomerAdmission {
  readonly #startedAt: number;
  readonly #rates = new CustomerRates();
  readonly #slots = new RetrySlots(MAX_RETRY_KEYS);

  /** `now` is the beginning of the term. The rates before it are unknown, so nobody is refused in the first window. */
  constructor(now: number) {
    this.#startedAt = now;
  }

  /**
   * Decides on a submission, and counts it if it is accepted. Refuses if and only if the customer is beyond its
   * allowance and the work that waits in the pool cannot start before the job would be late.
   */
  decide(
    { customer, pool, slackMs }: Submission,
    { waitMs, drainMs }: AdmissionBacklog,
    now: number,
  ): AdmissionDecision {
    const { name, weight } = customer;
    const isBeyondAllowance = now - this.#startedAt >= RATE_WINDOW_MS &&
      this.#rates.count(name, now) + 1 > allowedJobs(weight);
    if (!isBeyondAllowance || waitMs === 0 || waitMs <= slackMs) {
      this.#rates.record(name, now);
      return { kind: "accept" };
    }
    const spacingMs = Math.min(
      MAX_RETRY_SPACING_MS,
      Math.max(MIN_RETRY_SPACING_MS, drainMs),
    );
    const retryAfterMs = this.#slots.next(
      `${name} ${pool}`,
      waitMs - slackMs,
      spacingMs,
      now,
    );
    return { kind: "refuse", retryAfterMs };
  }
}

/** Jobs that a customer may have accepted within one window whatever the backlog. */
export function allowedJobs(weight: number): number {
  const expected = weight * RATE_WINDOW_MS / MS_PER_S;
  // One job at least counts as expected, so that a customer with a small weight may submit a few jobs at once.
  const deviation = Math.sqrt(Math.max(1, expected));
  return expected +
    Math.max(MIN_BURST_DEVIATIONS * deviation, weight * BURST_S);
}

/**
 * Time for which a job may wait after its submission and still meet its objective, in milliseconds. `wallNow` is the
 * wall-clock time in milliseconds.
 */
export function startSlackMs(
  job: SubmittedJob,
  queue: Queue,
  estimate: WorkEstimate,
  wallNow: number,
): number {
  const record = newJob(job, queue, wallNow);
  return objectiveDeadline(record, 0, estimate) -
    estimate.criticalPathMs(record) - wallNow;
}
