/**
 * A worker on which tasks may be placed, as one placement pass sees it.
 *
 * @module
 */
import { groupBy } from "../../group_by.ts";
import {
  reservation,
  type Resources,
  type StepSpec,
} from "../model/batch_job.ts";
import type { Worker } from "../model/command.ts";
import { type FitScore, leastFreeCpu } from "./fit_score.ts";
import type { FreeCpuIndex } from "./free_cpu_index.ts";
import type { WaitingStep } from "../model/job_record.ts";
import type { ReservedCapacity } from "./reserved_capacity.ts";
import {
  addInPlace,
  countFitting,
  covers,
  plus,
} from "../model/resource_sum.ts";
import type { WorkerLoad } from "../workers/worker_load.ts";
import type { Slowness } from "../workers/worker_speed.ts";

/** Conditions of a worker that restrict what is placed on it. */
export interface WorkerCondition {
  /** Whether long-running tasks are better placed elsewhere. */
  isDueForMaintenance?: boolean;
  /** Whether its VM may be moved or taken down at any time; it gets no tasks that are costly to run again. */
  mayEnd?: boolean;
  /** Job that has runs on probation on the worker; no other one gets runs beside them. */
  jobOnProbation?: string | undefined;
  /** How slow the worker is; undefined if it is not known to be slow. */
  slowness?: Slowness | undefined;
  /** Whether the worker is paused since runs fail or hang there, so that it is only for steps that no other can take. */
  isPaused?: boolean;
  /** Whether all runs on the worker have run for a while, so that a crash would not be attributed to them. */
  isSettled?: () => boolean;
  /** How well a task fits into free resources; by default, the fullest worker fits best. */
  fitScore?: FitScore;
}

/** A candidate worker and its free resources during one placement pass. */
export class CandidateWorker {
  readonly worker: Worker;
  readonly free: Resources;
  readonly #load: WorkerLoad;
  readonly #planned = new Map<string, number>();
  #latencySensitiveRuns: number;
  #bestEffortRuns: number;
  /** Number of runs that do not end by themselves, with those planned. */
  #lastingRuns: number;
  /** Number of runs, with those planned. */
  runCount: number;
  jobOnProbation: string | undefined;
  readonly isDueForMaintenance: boolean;
  readonly slowness: Slowness | undefined;
  readonly isPaused: boolean;
  readonly isSettled: () => boolean;
  /** Capacity that is reserved here for a step; undefined for none. */
  reservedCapacity: ReservedCapacity | undefined;
  /** Index that lists the candidate by its free CPU; undefined for none. */
  cpuIndex: FreeCpuIndex<CandidateWorker> | undefined;
  readonly #fitScore: FitScore;
  readonly #mayEnd: boolean;

  constructor(
    worker: Worker,
    load: WorkerLoad,
    {
      isDueForMaintenance = false,
      mayEnd = false,
      jobOnProbation,
      slowness,
      isPaused = false,
      isSettled = () => true,
      fitScore = leastFreeCpu,
    }: WorkerCondition = {},
  ) {
    this.slowness = slowness;
    this.isPaused = isPaused;
    this.isSettled = isSettled;
    this.#fitScore = fitScore;
    this.isDueForMaintenance = isDueForMaintenance;
    this.#mayEnd = mayEnd;
    this.jobOnProbation = jobOnProbation;
    this.runCount = load.runs.size;
    this.worker = worker;
    this.#load = load;
    this.#latencySensitiveRuns = load.latencySensitiveRuns;
    this.#bestEffortRuns = load.bestEffortRuns;
    this.#lastingRuns = load.lastingRuns;
    this.free = plus(worker.capacity, load.reserved, -1);
  }

  /** Whether a task of a step may run here. */
  accepts(step: WaitingStep): boolean {
    const { spec, name, job } = step;
    return (this.jobOnProbation ?? job.id) === job.id &&
      (this.slowness?.isProbed !== true || !this.#hasEndingRuns) &&
      !(this.#mayEnd && isCostlyToEnd(spec)) &&
      covers(this.free, reservation(spec)) &&
      hasLabel(this.worker, spec.requiredLabel) &&
      (spec.maxPerWorker === 0 || this.#runsOfStep(name) < spec.maxPerWorker) &&
      (this.reservedCapacity?.admits(step) ?? true);
  }

  get isScoredByFreeCpu(): boolean {
    return this.#fitScore === leastFreeCpu;
  }

  /** How well a task of a step fits into the free resources; the lower, the better. */
  scoreOf({ spec }: WaitingStep): number {
    return this.#fitScore(reservation(spec), this.free, this.worker.capacity);
  }

  /** Whether a task of a step could run here if the worker were idle. */
  acceptsWhenIdle({ spec }: WaitingStep): boolean {
    const { capacity } = this.worker;
    return !(this.#mayEnd && isCostlyToEnd(spec)) &&
      covers(capacity, reservation(spec)) &&
      hasLabel(this.worker, spec.requiredLabel);
  }

  /**
   * How many tasks of a step could run here once the runs that end by themselves have ended. Those of long-running tasks
   * keep their place.
   */
  countForGood({ spec, name }: WaitingStep): number {
    if (!hasLabel(this.worker, spec.requiredLabel)) {
      return 0;
    }
    const left = plus(this.worker.capacity, this.#load.reservedForGood, -1);
    const kept = spec.lasting ? this.#runsOfStep(name) : 0;
    return Math.min(
      countFitting(left, reservation(spec)),
      spec.maxPerWorker === 0 ? Infinity : spec.maxPerWorker - kept,
    );
  }

  /** A probed worker runs one task at a time, beside those that never end. */
  get #hasEndingRuns(): boolean {
    return this.runCount > this.#lastingRuns;
  }

  /** Whether best-effort and latency-sensitive tasks would run together, which raises the latency of the latter. */
  wouldInterfere({ fills, targetLatencyMs }: StepSpec): boolean {
    return fills
      ? this.#latencySensitiveRuns > 0
      : targetLatencyMs > 0 && this.#bestEffortRuns > 0;
  }

  /** Reserves the resources of a task of a step. Only tasks of its job are accepted beside a suspected one. */
  reserve(step: WaitingStep, isSuspected = false): void {
    const { spec, name, job } = step;
    if (isSuspected) {
      this.jobOnProbation = job.id;
    }
    this.runCount += 1;
    this.reservedCapacity?.record(step);
    const take = (): void => addInPlace(this.free, reservation(spec), -1);
    if (this.cpuIndex === undefined) {
      take();
    } else {
      this.cpuIndex.update(this, take);
    }
    this.#planned.set(name, (this.#planned.get(name) ?? 0) + 1);
    this.#latencySensitiveRuns += spec.targetLatencyMs > 0 ? 1 : 0;
    this.#bestEffortRuns += spec.fills ? 1 : 0;
    this.#lastingRuns += spec.lasting ? 1 : 0;
  }

  #runsOfStep(name: string): number {
    return this.#load.runsOfStep(name) + (this.#planned.get(name) ?? 0);
  }
}

function hasLabel({ labels }: Worker, required: string): boolean {
  return required === "" || labels.includes(required);
}

/** Candidates by rack. */
export function byRack(
  candidates: readonly CandidateWorker[],
): Map<string, CandidateWorker[]> {
  return groupBy(candidates, ({ worker }) => rackOf(worker));
}

/** Labels are the kind of the VM, then its rack. */
function rackOf({ labels }: Worker): string {
  return labels[1] ?? "";
}

/** Whether the end of a task's worker costs more than one run: it may be missed by its step, or end its gang. */
function isCostlyToEnd({ lasting, gang }: StepSpec): boolean {
  return lasting || gang;
}
