/**
 * Demands that found no worker in a placement pass with reservations, so that a long queue is not tried against full
 * or reserved workers.
 *
 * @module
 */
import { reservation } from "../model/batch_job.ts";
import type { WaitingStep } from "../model/job_record.ts";
import { onlyLacksResources } from "../placement/waiting_tasks.ts";

/** A demand, and the number of reservations before whose start its tasks are expected to end. */
type Demand = readonly [
  cpuMilli: number,
  memoryMb: number,
  gpus: number,
  admissions: number,
];

/** Maximum number of demands kept for one pool and label; more would cost more than they save. */
const MAX_DEMANDS = 16;

/** Expected duration of a step's tasks on the best and on the worst worker, in milliseconds. */
export interface DurationRange {
  shortestMs: number;
  longestMs: number;
}

export class BlockedDemands {
  readonly #durations: (step: WaitingStep) => DurationRange;
  readonly #gaps: (pool: string) => readonly number[];
  /** By pool and required label; nested, since a joined key for each step of each pass is costly. */
  readonly #blocked = new Map<string, Map<string, Demand[]>>();

  /** `gaps`: times until the starts of the pool's reservations that let shorter tasks in. */
  constructor(
    durations: (step: WaitingStep) => DurationRange,
    gaps: (pool: string) => readonly number[],
  ) {
    this.#durations = durations;
    this.#gaps = gaps;
  }

  /** Records a step of which a task found no worker; `isReserved` if a reservation was among the causes. */
  record(step: WaitingStep, isReserved: boolean): void {
    if (!onlyLacksResources(step)) {
      return;
    }
    const { spec, job } = step;
    // Without reservations, a shorter task finds no worker either.
    const admissions = isReserved
      ? this.#admissions(step, "longestMs")
      : Infinity;
    const demand = demandOf(step, admissions);
    const labels = this.#blocked.get(job.pool) ?? new Map<string, Demand[]>();
    this.#blocked.set(job.pool, labels);
    const others = (labels.get(spec.requiredLabel) ?? []).filter((other) =>
      !isAtLeast(other, demand)
    );
    if (others.length < MAX_DEMANDS) {
      others.push(demand);
    }
    labels.set(spec.requiredLabel, others);
  }

  /** Whether a step needs no less than one that found no worker, and is let in by no more reservations. */
  covers(step: WaitingStep): boolean {
    const blocked = this.#blocked.get(step.job.pool)
      ?.get(step.spec.requiredLabel);
    if (blocked === undefined) {
      return false;
    }
    const demand = demandOf(step, this.#admissions(step, "shortestMs"));
    return blocked.some((other) => isAtLeast(demand, other));
  }

  /** Number of reservations before whose start a task of a step is expected to end. */
  #admissions(step: WaitingStep, duration: keyof DurationRange): number {
    const gaps = this.#gaps(step.job.pool);
    if (gaps.length === 0) {
      return 0;
    }
    const durationMs = this.#durations(step)[duration];
    return gaps.filter((gap) => durationMs <= gap).length;
  }
}

function demandOf({ spec }: WaitingStep, admissions: number): Demand {
  const { cpuMilli, memoryMb, gpus } = reservation(spec);
  return [cpuMilli, memoryMb, gpus, admissions];
}

/** Whether a demand needs no less than another and is let in by no more reservations. */
function isAtLeast(a: Demand, b: Demand): boolean {
  return a[0] >= b[0] && a[1] >= b[1] && a[2] >= b[2] && a[3] <= b[3];
}
