/**
 * Admission of customers' submissions during one leadership term.
 *
 * @module
 */
import { Err, type Fault, fault, Ok, type Result } from "@quetzalcove/core";
import {
  CustomerAdmission,
  MAX_REPEAT_MS,
  ownsDirectory,
  PoolBacklogs,
  RecentSubmissions,
  RefusalCounts,
  startSlackMs,
  type StepPlacement,
  type SubmittedJob,
  type Worker,
  type WorkEstimate,
} from "@quetzalcove/core/scheduling";
import type { Clock } from "../clock.ts";
import type { Log } from "../observe/log.ts";
import {
  type CustomerStatus,
  customerStatuses,
  type SubmissionCounts,
} from "./customer_status.ts";
import type { JobConsensus } from "./job_state_machine.ts";

/** Dependencies of an admission controller. */
export interface AdmissionControllerParts {
  consensus: JobConsensus;
  clock: Clock;
  log: Log;
  estimate: WorkEstimate;
}

/** Details of a refusal in the log. */
interface RefusalDetails {
  customer: string;
  queue: string;
  pool: string;
  waitMs: number;
  slackMs: number;
  retryAfterMs: number;
}

/** Shortest time between two computations of the backlogs, which take 4 ms with 5,000 waiting steps and 1,500 workers. */
const REFRESH_INTERVAL_MS = 100;

/** Reason of refusals in the status: the customer's rate is beyond its weight. */
const REASON_RATE = "rate";

export class AdmissionController {
  readonly #parts: AdmissionControllerParts;
  readonly #admission: CustomerAdmission;
  readonly #backlogs: PoolBacklogs;
  readonly #recent: RecentSubmissions;
  readonly #counts = new Map<string, SubmissionCounts>();
  readonly #refusals = new RefusalCounts<RefusalDetails>();
  #refreshedAt = -Infinity;

  constructor(parts: AdmissionControllerParts) {
    this.#parts = parts;
    const now = parts.clock.monotonic();
    this.#admission = new CustomerAdmission(now);
    this.#recent = new RecentSubmissions(now);
    this.#backlogs = new PoolBacklogs(parts.estimate);
  }

  /** Computes the backlogs anew if that is due, and logs refusals. Does nothing where the plan has no customers. */
  refresh(
    usableWorkers: () => ReadonlyMap<string, readonly Worker[]>,
    now: number,
  ): void {
    const jobStore = this.#parts.consensus.state;
    const isDue = now - this.#refreshedAt >= REFRESH_INTERVAL_MS;
    if (jobStore.plan.customers.length === 0 || !isDue) {
      return;
    }
    this.#refreshedAt = now;
    this.#backlogs.refresh(jobStore, usableWorkers(), now);
    this.#logRefusals(now);
  }

  /** Records placements, from which the drain rate of the backlogs is measured. */
  recordPlacements(placements: readonly StepPlacement[], now: number): void {
    if (this.#parts.consensus.state.plan.customers.length > 0) {
      placements.forEach(({ step, runs }) =>
        this.#backlogs.recordStart(step.job, step.spec, runs.length, now)
      );
    }
  }

  /** Accepts or refuses a job that is not stored yet. Anonymous jobs are accepted. */
  accept(job: SubmittedJob): Result<void, Fault> {
    const { consensus, clock, estimate } = this.#parts;
    const { plan } = consensus.state;
    const customer = plan.customers.find(({ name }) => name === job.customer);
    const queue = plan.queues.find(({ name }) => name === job.queue);
    if (customer === undefined || queue === undefined) {
      return Ok.EMPTY;
    }
    const now = clock.monotonic();
    const { pool } = job;
    const slackMs = startSlackMs(job, queue, estimate, clock.wall());
    const waitMs = this.#backlogs.waitMs(pool, customer.name, now);
    const decision = this.#admission.decide(
      { customer, pool, slackMs },
      { waitMs, drainMs: this.#backlogs.drainMs(job) },
      now,
    );
    const counts = this.#countsOf(customer.name);
    if (decision.kind === "accept") {
      counts.accepted += 1;
      this.#backlogs.addJob(job);
      this.#recent.record(customer.name, job.id, now);
      return Ok.EMPTY;
    }
    const { retryAfterMs } = decision;
    counts.refused[REASON_RATE] = (counts.refused[REASON_RATE] ?? 0) + 1;
    this.#refusals.record(customer.name, {
      customer: customer.name,
      queue: queue.name,
      pool,
      waitMs: Math.round(waitMs),
      slackMs: Math.round(slackMs),
      retryAfterMs,
    });
    const exceptMarks = ownsDirectory(plan, queue)
      ? this.#recent.marks(customer.name, now)
      : undefined;
    return Err(fault(
      "over_quota",
      `Customer "${customer.name}" exceeds its weight of ${customer.weight}/s and pool "${pool}" has a backlog`,
      {
        outcome: "not run",
        remedy: "Submit the job again after the given time",
        retryAfterMs,
        ...exceptMarks !== undefined && {
          repeat: { forMs: MAX_REPEAT_MS, exceptMarks },
        },
      },
    ));
  }

  /** Status of the customers of the plan, for operators. */
  describe(): CustomerStatus[] {
    const { consensus, clock } = this.#parts;
    return customerStatuses(consensus.state, this.#counts, clock.wall());
  }

  #countsOf(customer: string): SubmissionCounts {
    let counts = this.#counts.get(customer);
    if (counts === undefined) {
      counts = { accepted: 0, refused: {} };
      this.#counts.set(customer, counts);
    }
    return counts;
  }

  #logRefusals(now: number): void {
    for (const { count, latest } of this.#refusals.takeDue(now)) {
      this.#parts.log.warn("submissions.refused", {
        ...latest,
        reason: REASON_RATE,
        count,
      });
    }
  }
}
