/**
 * Places waiting jobs by priority; within a priority, teams go in order of their dominant share of quota.
 *
 * @module
 */
import { dominantShare } from "../dominant_share.ts";
import type { Priority } from "../names.ts";
import type { State } from "../state.ts";
import { nextRunId } from "./apply.ts";
import { isNearDeadline } from "./deadline.ts";
import { FairShareOrder, type QueueCursor } from "./fair_share.ts";
import {
  componentMax,
  componentMin,
  type PoolLimits,
  quotasOf,
} from "./feasibility.ts";
import { type Job, type JobChange, kindKey } from "./job.ts";
import type { JobIndex, JobQueue } from "./job_index.ts";
import { addSize, fits, remaining, type Size, zeroSize } from "./size.ts";
import type { SizeEstimator } from "./size_estimator.ts";
import {
  addRun,
  type VmCapacities,
  type VmCapacity,
  WARM_UP_MS,
} from "./vm_capacity.ts";
import { selectPreemption, selectVm } from "./vm_selection.ts";

/** Maximum placements in one pass. */
const MAX_PLACEMENTS = 200;
/** Maximum preemption attempts in one pass. */
const MAX_PREEMPTIONS = 32;
/** The same for live jobs, which can wait longer than urgent ones. */
const MAX_LIVE_PREEMPTIONS = 8;
/** Entries of a queue that fail to be placed before the queue is backed off. */
const MAX_FAILED_TRIES = 2;
/** Smallest value of the warm-up limit, in runs. */
const MIN_WARM_UP_LIMIT = 6;
/** VMs of a pool for each run that the warm-up limit allows, above its smallest value. */
const VMS_PER_WARM_UP_RUN = 4;
/** How long a queue is skipped while nothing changes for it. */
const QUEUE_BACKOFF_MS = 10_000;
/** How long a live job waits before overnight runs are preempted for it. */
const LIVE_PREEMPTION_DELAY_MS = 10_000;

/** Inputs of one pass and the list to which changes are added. */
export interface PassContext {
  state: State;
  index: JobIndex;
  vms: VmCapacities;
  limits: PoolLimits;
  estimator: SizeEstimator;
  at: number;
  changes: JobChange[];
}

/** One round of a pass: the jobs of a priority, or only the overnight jobs near their deadline. */
interface Round {
  priority: Priority;
  nearDeadline: boolean;
}

/** VMs and limits for the jobs of one pool in one round. */
interface PoolContext {
  vms: VmCapacity[];
  round: Round;
  /** Largest amount of each resource on any VM of the pool. */
  limit: Size;
  /** Largest amount of each resource free on any VM at the start of the round. */
  maxFree: Size;
}

const ROUNDS: readonly Round[] = [
  { priority: "urgent", nearDeadline: false },
  { priority: "live", nearDeadline: false },
  { priority: "overnight", nearDeadline: true },
  { priority: "overnight", nearDeadline: false },
];

/** Places waiting jobs and adds the changes. */
export class QueuePlacer {
  readonly #pass: PassContext;
  readonly #quotas: Map<string, Size>;
  readonly #heldSizes = new Map<string, Size>();
  readonly #warmUpRuns = new Map<string, number>();
  readonly #placedJobs = new Set<string>();
  #placements = 0;
  #preemptions = 0;

  constructor(pass: PassContext) {
    this.#pass = pass;
    this.#quotas = quotasOf(pass.state);
  }

  /** Runs all rounds, the highest priority first. */
  placeAll(): void {
    for (const round of ROUNDS) {
      for (const pool of this.#pass.index.pools()) {
        this.#placePool(pool, round);
      }
    }
  }

  #placePool(pool: string, round: Round): void {
    const vms = this.#pass.vms.byPool.get(pool) ?? [];
    const schedulable = vms.filter((vm) => vm.schedulable);
    const queues = this.#pass.index.queues(pool, round.priority);
    if (queues.size === 0 || schedulable.length === 0) {
      return;
    }
    const limit = this.#pass.limits.get(pool)?.largest ?? zeroSize();
    // Free resources only shrink within a round, so this bound rejects most jobs of a full pool cheaply.
    const maxFree = componentMax(schedulable.map((vm) => vm.free));
    const context = { vms: schedulable, round, limit, maxFree };
    const candidates = [...queues.values()]
      .filter((queue) => !this.#canSkip(queue, context));
    const order = new FairShareOrder(candidates, (team) => this.#share(team));
    let cursor = order.next();
    while (cursor !== undefined && this.#placements < MAX_PLACEMENTS) {
      if (!this.#placeNext(cursor, context)) {
        order.exclude(cursor);
      }
      cursor = order.next();
    }
  }

  /**
   * Whether the queue can be skipped without reading its jobs: it is at the warm-up limit, or nothing has changed since
   * it was backed off.
   */
  #canSkip(queue: JobQueue, { vms, round, maxFree }: PoolContext): boolean {
    const { at } = this.#pass;
    if (round.nearDeadline && at < (queue.deadlineCheckAt ?? 0)) {
      return true;
    }
    if (round.priority === "urgent") {
      return false;
    }
    if (this.#isAtWarmUpLimit(queue.key, vms.length)) {
      return true;
    }
    const { backoff } = queue;
    if (backoff === undefined || at >= backoff.until) {
      return false;
    }
    const quota = this.#quotas.get(queue.team) ?? zeroSize();
    const left = remaining(quota, this.#heldBy(queue.team));
    const exceedsFree = round.priority === "overnight" &&
      !fits(backoff.need, maxFree);
    return exceedsFree || !fits(backoff.need, left);
  }

  /** Places the next job of the queue; the cursor does not go back within a round. */
  #placeNext(
    cursor: QueueCursor,
    context: PoolContext,
  ): boolean {
    const { entries } = cursor.queue;
    if (
      context.round.priority !== "urgent" &&
      this.#isAtWarmUpLimit(cursor.queue.key, context.vms.length)
    ) {
      return false;
    }
    let tries = 0;
    let needed: Size | undefined;
    for (; cursor.position < entries.length; cursor.position += 1) {
      const entry = entries[cursor.position];
      if (entry === undefined || !entry.current) {
        continue;
      }
      const { job } = entry;
      if (this.#placedJobs.has(job.id)) {
        continue;
      }
      if (!this.#inRound(job, context.round)) {
        cursor.queue.deadlineCheckAt = this.#pass.at + QUEUE_BACKOFF_MS;
        return false;
      }
      const result = this.#place(job, context);
      if (result.placed) {
        return true;
      }
      needed = minOf(needed, result.need);
      tries += 1;
      if (tries === MAX_FAILED_TRIES) {
        break;
      }
    }
    if (needed !== undefined) {
      const until = this.#pass.at + QUEUE_BACKOFF_MS;
      cursor.queue.backoff = { need: needed, until };
    }
    return false;
  }

  #inRound(job: Job, round: Round): boolean {
    return !round.nearDeadline ||
      isNearDeadline(job, this.#pass.estimator, this.#pass.at);
  }

  #place(
    job: Job,
    { vms, round, limit, maxFree }: PoolContext,
  ): PlacementResult {
    const quota = this.#quotas.get(job.team) ?? zeroSize();
    const need = this.#pass.estimator.reserve(job, componentMin(limit, quota));
    if (!fits(need, remaining(quota, this.#heldBy(job.team)))) {
      return { placed: false, need };
    }
    const vm = fits(need, maxFree)
      ? selectVm(vms, job, { need, nearDeadline: round.nearDeadline })
      : undefined;
    if (vm !== undefined) {
      this.#placeOn(job, vm, need);
      return { placed: true, need };
    }
    const placed = this.#preempt(job, vms, need) ||
      (job.priority === "urgent" && this.#placeReduced(job, vms, need));
    return { placed, need };
  }

  /** Places an urgent job whose reservation fits on no VM with a reduced size, which its run may exceed later. */
  #placeReduced(job: Job, vms: VmCapacity[], need: Size): boolean {
    const reduced = this.#pass.estimator.reducedSize(job, need);
    const vm = selectVm(vms, job, { need: reduced, nearDeadline: false });
    if (vm === undefined) {
      return this.#preempt(job, vms, reduced);
    }
    this.#placeOn(job, vm, reduced);
    return true;
  }

  #preempt(job: Job, vms: VmCapacity[], need: Size): boolean {
    const { at, changes } = this.#pass;
    const waitedMs = at - job.submittedAt;
    const mayPreempt = job.priority === "urgent" ||
      (job.priority === "live" && waitedMs >= LIVE_PREEMPTION_DELAY_MS);
    const maxPreemptions = job.priority === "urgent"
      ? MAX_PREEMPTIONS
      : MAX_LIVE_PREEMPTIONS;
    if (!mayPreempt || this.#preemptions >= maxPreemptions) {
      return false;
    }
    this.#preemptions += 1;
    const preemption = selectPreemption(vms, job, { need, at });
    if (preemption === undefined) {
      return false;
    }
    for (const victim of preemption.victims) {
      const want = {
        want: "checkpoint",
        cause: job.priority === "urgent" ? "urgent" : "live",
      } as const;
      changes.push({
        type: "want",
        job: victim.job.id,
        run: victim.run.id,
        ...want,
      });
      victim.run = { ...victim.run, ...want };
    }
    this.#placeOn(job, preemption.vm, need);
    return true;
  }

  #placeOn(job: Job, vm: VmCapacity, size: Size): void {
    const id = nextRunId(job);
    const { at, changes } = this.#pass;
    const { name } = vm;
    const incarnation = vm.lease.report?.incarnation ?? 0;
    const run = { id, vm: name, incarnation, size, at, want: "run" } as const;
    changes.push({
      type: "place",
      job: job.id,
      run: id,
      vm: name,
      incarnation,
      size,
    });
    addRun(vm, { job, run, size });
    addSize(this.#heldBy(job.team), size);
    const key = kindKey(job);
    this.#warmUpRuns.set(key, this.#warmUpRunsOf(key) + 1);
    this.#placedJobs.add(job.id);
    this.#placements += 1;
  }

  /** Number of runs of a kind that are in warm-up, including those placed in this pass. */
  #warmUpRunsOf(key: string): number {
    const known = this.#warmUpRuns.get(key);
    if (known !== undefined) {
      return known;
    }
    const count = countWarmingUp(this.#pass.index, key, this.#pass.at);
    this.#warmUpRuns.set(key, count);
    return count;
  }

  #isAtWarmUpLimit(key: string, vmCount: number): boolean {
    return !this.#pass.estimator.hasEnoughSamples(key) &&
      this.#warmUpRunsOf(key) >= warmUpLimit(vmCount);
  }

  #heldBy(team: string): Size {
    let held = this.#heldSizes.get(team);
    if (held === undefined) {
      held = { ...this.#pass.state.jobs.held[team] ?? zeroSize() };
      this.#heldSizes.set(team, held);
    }
    return held;
  }

  #share(team: string): number {
    const quota = this.#quotas.get(team);
    return quota === undefined
      ? Infinity
      : dominantShare(this.#heldBy(team), quota);
  }
}

/** Maximum number of runs in warm-up in a pool of `vmCount` VMs, for a kind whose sizes are not known yet. */
export function warmUpLimit(vmCount: number): number {
  return Math.max(MIN_WARM_UP_LIMIT, Math.floor(vmCount / VMS_PER_WARM_UP_RUN));
}

/** Number of runs of a kind that are in warm-up. */
export function countWarmingUp(
  index: JobIndex,
  key: string,
  at: number,
): number {
  let count = 0;
  for (const { run } of index.runsOfKind.get(key) ?? []) {
    count += run !== undefined && at - run.at < WARM_UP_MS ? 1 : 0;
  }
  return count;
}

/** Result of trying to place a job. */
interface PlacementResult {
  placed: boolean;
  need: Size;
}

function minOf(a: Size | undefined, b: Size | undefined): Size | undefined {
  return a === undefined || b === undefined ? a ?? b : componentMin(a, b);
}
