/**
 * Look-ahead in placement: reservations for large steps, and waits for the rack of the data.
 *
 * One leadership term keeps the reservations and wait times between its passes; after a change of leader they start
 * anew.
 *
 * @module
 */
import { reservation, type Resources } from "../model/batch_job.ts";
import { BlockedDemands } from "./blocked_demands.ts";
import type { RunKey } from "../model/command.ts";
import { freeCpuIndexOf } from "../placement/candidate_index.ts";
import { IndicesPart } from "../model/index_set.ts";
import type { WaitingStep } from "../model/job_record.ts";
import { countWaiting, maxRackWaitMs } from "./rack_wait.ts";
import {
  isLarge,
  largestCapacity,
  planReservations,
  RESERVATION_LIMITS,
  type ReservationLimits,
} from "./reservation_plan.ts";
import { ReservedCapacity } from "../placement/reserved_capacity.ts";
import {
  type ExpectedEnd,
  expectedEnds,
  TaskDurations,
  type TimedRun,
} from "./run_ends.ts";
import type { CandidateWorker } from "../placement/candidate_worker.ts";
import { placeStep } from "../placement/task_placement.ts";
import type { WorkerReservation } from "../placement/worker_reservation.ts";
import { taskName } from "../model/task_name.ts";
import { WaitTimes } from "./wait_times.ts";
import { hasFaultyRuns } from "../placement/waiting_tasks.ts";
import type { WorkEstimate } from "../order/work_estimate.ts";
import { WorkerTimeline } from "./worker_timeline.ts";

/** What look-ahead needs to know beside the waiting steps and the workers. */
export interface LookAheadParts {
  estimate: WorkEstimate;
  /** Factor by which a task takes longer away from the rack of its data. */
  remoteFactor: number;
  /** Runs on a worker that have not ended. */
  runsOn: (worker: string) => Iterable<TimedRun>;
  limits?: ReservationLimits;
}

/** What one pass decides on. */
export interface LookAheadInput {
  /** All waiting steps, most urgent first. */
  steps: readonly WaitingStep[];
  /** Workers that may get new runs, by pool. */
  candidates: ReadonlyMap<string, readonly CandidateWorker[]>;
  /** Workers that may get runs of a step. */
  candidatesFor: (step: WaitingStep) => readonly CandidateWorker[];
  /** Time until the latest start of a step that still meets its job's objective, in milliseconds. */
  slackMs: (step: WaitingStep) => number;
}

export class LookAhead {
  readonly #parts: LookAheadParts;
  readonly #waits = new WaitTimes();
  #reservations = new Map<string, WorkerReservation[]>();

  constructor(parts: LookAheadParts) {
    this.#parts = parts;
  }

  /** Reservations of the last pass, by pool. */
  get reservations(): ReadonlyMap<string, readonly WorkerReservation[]> {
    return this.#reservations;
  }

  /** Plans the reservations of a pass. */
  begin(input: LookAheadInput, now: number): LookAheadPass {
    const { limits = RESERVATION_LIMITS } = this.#parts;
    const pass = new LookAheadPass(
      this.#parts,
      this.#waits,
      [...input.candidates.values()].flat(),
      now,
    );
    const pools = new Map<string, PoolBacklog>();
    for (const [pool, workers] of input.candidates) {
      const largest = largestCapacity(workers);
      const cpuMilli = workers.reduce(
        (sum, { worker }) => sum + worker.capacity.cpuMilli,
        0,
      );
      const spareWork = limits.maxBacklogMs * cpuMilli;
      pools.set(pool, { workers, largest, spareWork, large: [] });
    }
    for (const step of input.steps) {
      const pool = pools.get(step.job.pool);
      if (pool !== undefined) {
        this.#record(step, pool, pass, now);
      }
    }
    this.#waits.prune(now);
    const reservations = new Map<string, WorkerReservation[]>();
    for (const [pool, { workers, large, spareWork }] of pools) {
      const plan = planReservations({
        waiting: large,
        workers,
        candidates: input.candidatesFor,
        timeline: (worker) => pass.timeline(worker),
        waitedMs: (step) => this.#waits.waitedMs(step, now),
        slackMs: input.slackMs,
        isBacklogged: spareWork < 0,
        earlier: this.#reservations.get(pool) ?? [],
        limits,
      }, now);
      if (plan.length > 0) {
        reservations.set(pool, plan);
        pass.reserve(plan);
      }
    }
    this.#reservations = reservations;
    return pass;
  }

  /** Adds a step to the backlog of its pool, and records its wait if that matters. */
  #record(
    step: WaitingStep,
    pool: PoolBacklog,
    pass: LookAheadPass,
    now: number,
  ): void {
    const { limits = RESERVATION_LIMITS } = this.#parts;
    if (pool.spareWork >= 0) {
      pool.spareWork -= pass.workOf(step);
    }
    const isLargeStep = isLarge(step, pool.largest, limits.largeShare);
    if (isLargeStep) {
      pool.large.push(step);
    }
    if (isLargeStep || step.spec.dataRack !== "") {
      this.#waits.record(step, now);
    }
  }
}

/** What waits in front of a pool. */
interface PoolBacklog {
  workers: readonly CandidateWorker[];
  largest: Resources;
  /** Work up to the limit of the backlog, in millicores times milliseconds; negative beyond it. */
  spareWork: number;
  large: WaitingStep[];
}

/** Look-ahead during one placement pass. */
export class LookAheadPass {
  readonly #parts: LookAheadParts;
  readonly #waits: WaitTimes;
  readonly #workers: ReadonlyMap<string, CandidateWorker>;
  readonly #now: number;
  readonly #durations: TaskDurations;
  readonly #timelines = new Map<string, WorkerTimeline>();
  /** Expected ends of the runs that this pass placed, by worker. */
  readonly #placed = new Map<string, ExpectedEnd[]>();
  /** Reserved workers by step. */
  readonly #reserved = new Map<string, ReservedCapacity[]>();
  /** Number of times that a reservation turned a step away. */
  #refusals = 0;
  /** Candidates by rack, for each list of candidates. */
  readonly #racks = new WeakMap<
    readonly CandidateWorker[],
    Map<string, readonly CandidateWorker[]>
  >();
  /** Times until the starts of reservations that let shorter tasks in, by pool. */
  readonly #gaps = new Map<string, number[]>();
  readonly #blocked: BlockedDemands;

  /** `workers` are the candidates of all pools. */
  constructor(
    parts: LookAheadParts,
    waits: WaitTimes,
    workers: readonly CandidateWorker[],
    now: number,
  ) {
    this.#parts = parts;
    this.#waits = waits;
    this.#workers = new Map(workers.map((each) => [each.worker.id, each]));
    this.#now = now;
    this.#durations = new TaskDurations(parts.estimate, parts.remoteFactor);
    this.#blocked = new BlockedDemands(
      (step) => this.#durations.range(step),
      (pool) => this.#gaps.get(pool) ?? [],
    );
  }

  /** The free resources of a worker over time. */
  timeline(candidate: CandidateWorker): WorkerTimeline {
    const { worker, free } = candidate;
    let timeline = this.#timelines.get(worker.id);
    if (timeline === undefined) {
      const ends = expectedEnds(
        this.#parts.runsOn(worker.id),
        worker.labels,
        this.#durations,
        this.#now,
      );
      ends.push(...this.#placed.get(worker.id) ?? []);
      timeline = new WorkerTimeline(free, ends, this.#now);
      this.#timelines.set(worker.id, timeline);
    }
    return timeline;
  }

  /** Expected work of a step, in millicores times milliseconds; 0 for long-running tasks. */
  workOf(step: WaitingStep): number {
    const { spec, indices } = step;
    return spec.lasting ? 0 : this.#durations.nearMs(step) * indices.size *
      reservation(spec).cpuMilli;
  }

  /** Puts a plan of reservations into effect. */
  reserve(plan: readonly WorkerReservation[]): void {
    for (const each of plan) {
      const candidate = this.#workers.get(each.worker);
      if (candidate === undefined) {
        continue;
      }
      // The timeline is without the reserved resources, which are claimed.
      const spare = this.timeline(candidate).freeAt(each.startsAt);
      const capacity = new ReservedCapacity(
        each,
        spare,
        {
          expectedMs: (step) =>
            this.#durations.expectedMs(step, candidate.worker.labels),
          onRefusal: () => this.#refusals += 1,
        },
        this.#now,
      );
      candidate.reservedCapacity = capacity;
      if (!each.isStrict) {
        const { pool } = candidate.worker;
        const gaps = this.#gaps.get(pool) ?? [];
        gaps.push(each.startsAt - this.#now);
        this.#gaps.set(pool, gaps);
      }
      const reserved = this.#reserved.get(each.step) ?? [];
      reserved.push(capacity);
      this.#reserved.set(each.step, reserved);
    }
  }

  /** Whether a step needs no attempt, since one that needs no more found no worker. */
  covers(step: WaitingStep): boolean {
    return !this.#reserved.has(step.name) && this.#blocked.covers(step);
  }

  /** Places tasks of a step; those that had better wait for the rack of their data are left waiting. */
  place(
    step: WaitingStep,
    candidates: readonly CandidateWorker[],
    wallNow: number,
  ): RunKey[] {
    const refusalsBefore = this.#refusals;
    const { runs, waiting } = this.#placeNear(step, candidates, wallNow);
    if (runs.length + waiting < step.indices.size) {
      this.#blocked.record(step, this.#refusals > refusalsBefore);
    }
    this.#reserved.get(step.name)?.forEach((capacity) => capacity.activate());
    return runs;
  }

  #placeNear(
    step: WaitingStep,
    candidates: readonly CandidateWorker[],
    wallNow: number,
  ): { runs: RunKey[]; waiting: number } {
    const { dataRack } = step.spec;
    const maxWaitMs = mayWaitForRack(step)
      ? maxRackWaitMs(
        this.#durations.remoteCostMs(step),
        this.#waits.waitedMs(step, this.#now),
      )
      : 0;
    const near = maxWaitMs > 0 ? this.#onRack(dataRack, candidates) : [];
    if (near.length === 0) {
      return { runs: this.#placeAny(step, candidates, wallNow), waiting: 0 };
    }
    const runs = this.#placeAny(step, near, wallNow);
    const left = step.indices.size - runs.length;
    // Where no worker has capacity, there is nothing to decide.
    const hasRoom = left > 0 && anyAccepts(step, candidates);
    const waiting = !hasRoom ? 0 : countWaiting(step, {
      tasks: left,
      maxWaitMs,
      timelines: near.map((candidate) => this.timeline(candidate)),
    }, this.#now);
    if (hasRoom && left > waiting) {
      const placed = new Set(runs.map(({ task }) => task));
      const indices = new IndicesPart(
        step.indices,
        { from: waiting, size: left - waiting },
        (index) => !placed.has(nameOfTask(step, index)),
      );
      runs.push(...this.#placeAny({ ...step, indices }, candidates, wallNow));
    }
    return { runs, waiting };
  }

  /** The candidates on a rack. */
  #onRack(
    rack: string,
    candidates: readonly CandidateWorker[],
  ): readonly CandidateWorker[] {
    const racks = this.#racks.get(candidates) ?? new Map();
    this.#racks.set(candidates, racks);
    let onRack = racks.get(rack);
    if (onRack === undefined) {
      onRack = candidates.filter(({ worker }) => worker.labels.includes(rack));
      racks.set(rack, onRack);
    }
    return onRack;
  }

  #placeAny(
    step: WaitingStep,
    candidates: readonly CandidateWorker[],
    wallNow: number,
  ): RunKey[] {
    const runs = placeStep(step, candidates, wallNow);
    const demand = reservation(step.spec);
    for (const { worker } of runs) {
      const labels = this.#workers.get(worker)?.worker.labels ?? [];
      const at = this.#now + this.#durations.expectedMs(step, labels);
      const end = { at, demand };
      const timeline = this.#timelines.get(worker);
      if (timeline === undefined) {
        const ends = this.#placed.get(worker) ?? [];
        ends.push(end);
        this.#placed.set(worker, ends);
      } else {
        timeline.addRun(end);
      }
    }
    return runs;
  }
}

function anyAccepts(
  step: WaitingStep,
  candidates: readonly CandidateWorker[],
): boolean {
  const { cpuMilli } = reservation(step.spec);
  const index = freeCpuIndexOf(candidates);
  for (const candidate of index?.from(cpuMilli) ?? candidates) {
    if (candidate.accepts(step)) {
      return true;
    }
  }
  return false;
}

/**
 * Whether the rack of the data alone decides where the tasks go: other preferences, and tasks that failed or crashed
 * somewhere, are left to the usual choice.
 */
function mayWaitForRack(step: WaitingStep): boolean {
  const { spec } = step;
  return spec.dataRack !== "" && !spec.gang && !spec.sameRack &&
    !spec.lasting && !spec.fills && spec.targetLatencyMs <= 0 &&
    !hasFaultyRuns(step);
}

function nameOfTask({ job, round, step }: WaitingStep, index: number): string {
  return taskName({ job: job.id, round, step, index });
}
