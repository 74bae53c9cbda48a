/**
 * Demands that found no worker in a placement pass with reservations, so that a long queue is not tried against full
 * or reserved workers.
 *
 * @module
 */
import { reservation } from "./batch_job.ts";
import type { WaitingStep } from "./job_record.ts";

/** A demand and the expected duration of its tasks. */
type Demand = readonly [
  cpuMilli: number,
  memoryMb: number,
  gpus: number,
  durationMs: number,
];

/** Maximum number of demands kept for one pool and label; more would cost more than they save. */
const MAX_DEMANDS = 16;

export class BlockedDemands {
  readonly #durationMs: (step: WaitingStep) => number;
  readonly #blocked = new Map<string, Demand[]>();

  constructor(durationMs: (step: WaitingStep) => number) {
    this.#durationMs = durationMs;
  }

  /** Records a step of which a task found no worker; `isReserved` if a reservation was among the causes. */
  record(step: WaitingStep, isReserved: boolean): void {
    const { spec, job, round, indices } = step;
    const tasks = job.rounds[round]?.tasks[step.step];
    const onlyLacksRoom = !spec.gang && !spec.sameRack &&
      spec.maxPerWorker === 0 && !job.terms.advised &&
      [...indices].every((index) =>
        tasks?.[index]?.lastFailure === undefined &&
        tasks?.[index]?.suspicion === undefined
      );
    if (!onlyLacksRoom) {
      return;
    }
    // Without reservations, a shorter task finds no worker either.
    const demand = this.#demandOf(step, isReserved ? undefined : 0);
    const key = keyOf(step);
    const others = (this.#blocked.get(key) ?? []).filter((other) =>
      !isAtLeast(other, demand)
    );
    if (others.length < MAX_DEMANDS) {
      others.push(demand);
    }
    this.#blocked.set(key, others);
  }

  /** Whether a step needs at least as much, for at least as long, as one that found no worker. */
  covers(step: WaitingStep): boolean {
    const blocked = this.#blocked.get(keyOf(step));
    if (blocked === undefined) {
      return false;
    }
    const demand = this.#demandOf(step);
    return blocked.some((other) => isAtLeast(demand, other));
  }

  #demandOf(
    step: WaitingStep,
    durationMs: number = this.#durationMs(step),
  ): Demand {
    const { cpuMilli, memoryMb, gpus } = reservation(step.spec);
    return [cpuMilli, memoryMb, gpus, durationMs];
  }
}

function keyOf({ job, spec }: WaitingStep): string {
  return `${job.pool} ${spec.requiredLabel}`;
}

function isAtLeast(a: Demand, b: Demand): boolean {
  return a[0] >= b[0] && a[1] >= b[1] && a[2] >= b[2] && a[3] >= b[3];
}
