/**
 * Learns from the committed ends of the runs on one worker: durations of tasks, and the worker's health.
 *
 * @module
 */
import {
  type ListedRun,
  parseTaskName,
  type RunEnd,
  type RunKey,
  type RunOutcome,
  type RunRecord,
  TaskDurations,
  timedStepOf,
  type Worker,
} from "@quetzalcove/core/scheduling";
import type { WorkerSessionParts } from "./worker_session_parts.ts";

/** Dependencies of a recorder of run ends. */
export type RunEndRecorderParts = Pick<
  WorkerSessionParts,
  | "consensus"
  | "clock"
  | "log"
  | "metrics"
  | "estimate"
  | "health"
  | "speed"
  | "placement"
  | "onChange"
>;

/** Share of the expected duration, and time, after which the progress of a run tells of the speed of its worker. */
const MIN_WATCHED_SHARE = 0.5;
const MIN_WATCHED_MS = 300;

/** Progress of a run when it was first known, in percent. */
interface FirstProgress {
  run: number;
  at: number;
  percent: number;
}

/** A run that the worker confirmed as started; kept to learn its duration. */
interface StartedRun {
  run: number;
  queue: string;
  estimatedMs: number;
  /** Expected duration here; undefined if the actual one tells nothing of the worker's speed. */
  expectedMs: number | undefined;
  /** Monotonic time of the start, in milliseconds. */
  startedAt: number;
}

export class RunEndRecorder {
  readonly #parts: RunEndRecorderParts;
  readonly #worker: () => Worker;
  readonly #durations: TaskDurations;
  /** Runs that this session started, by task. */
  readonly #startedRuns = new Map<string, StartedRun>();
  /** First known progress of the runs that the worker lists, by task. */
  readonly #progress = new Map<string, FirstProgress>();

  constructor(worker: () => Worker, parts: RunEndRecorderParts) {
    this.#worker = worker;
    this.#parts = parts;
    const { estimate, placement } = parts;
    this.#durations = new TaskDurations(estimate, placement.remoteFactor);
  }

  /** Records that the worker confirmed the start of a run. */
  recordStart(run: RunRecord, now: number): void {
    const jobStore = this.#parts.consensus.state;
    const job = jobStore.jobs.get(run.job);
    if (job !== undefined) {
      this.#startedRuns.set(run.task, {
        run: run.run,
        queue: job.queue,
        estimatedMs: job.spec?.steps[run.step]?.estimatedMs ?? 0,
        // The rest of a task that resumes from a checkpoint is shorter.
        expectedMs: jobStore.checkpointOf(run) === ""
          ? this.#expectedMs(run.task, run.run)
          : undefined,
        startedAt: now,
      });
    }
  }

  /** Learns the worker's speed from the progress that it lists, also of runs that an earlier leader started. */
  recordProgress(running: readonly ListedRun[], now: number): void {
    if (!this.#parts.speed.isEnabled) {
      return;
    }
    const listed = new Set(running.map(({ task }) => task));
    for (const task of this.#progress.keys()) {
      if (!listed.has(task)) {
        this.#progress.delete(task);
      }
    }
    for (const { task, run, percent } of running) {
      const known = this.#progress.get(task);
      if (known?.run !== run) {
        this.#progress.set(task, { run, at: now, percent });
        continue;
      }
      const watchedMs = now - known.at;
      const expectedMs = watchedMs < MIN_WATCHED_MS
        ? undefined
        : this.#expectedMs(task, run);
      if (
        expectedMs !== undefined && watchedMs >= MIN_WATCHED_SHARE * expectedMs
      ) {
        const tookMs = 100 * watchedMs / Math.max(1, percent - known.percent);
        this.#recordSpeed(task, run, expectedMs, tookMs, now);
      }
    }
  }

  /** Expected duration of a run here; undefined if its duration tells nothing of the worker's speed. */
  #expectedMs(task: string, run: number): number | undefined {
    const { id, labels } = this.#worker();
    const { state } = this.#parts.consensus;
    const record = state.findRun({ task, run, worker: id });
    const step = record && timedStepOf(state, record);
    const isTelling = step !== undefined && !step.spec.lasting &&
      !step.spec.fills && !step.spec.gang;
    return isTelling ? this.#durations.expectedMs(step, labels) : undefined;
  }

  #recordSpeed(
    task: string,
    run: number,
    expectedMs: number,
    tookMs: number,
    now: number,
  ): void {
    const { speed, log, metrics } = this.#parts;
    const { id: worker, pool } = this.#worker();
    const job = parseTaskName(task)?.job ?? "";
    const observed = { worker, pool, task, run, job, expectedMs, tookMs };
    const change = speed.record(observed, now);
    if (change !== undefined) {
      const factor = Number(speed.factor(worker).toFixed(1));
      metrics.count("quetzalcove_worker_speed_changes_total", { change });
      log.info("worker.speed", { worker, change, factor });
    }
  }

  /** Records runs whose end is committed, and runs that never started. */
  recordEnds(ends: readonly RunEnd[], dropped: readonly RunKey[]): void {
    const { metrics, log, onChange } = this.#parts;
    for (const { task, run, worker, how } of ends) {
      metrics.count("quetzalcove_runs_ended_total", { how });
      this.#recordDuration(task, run, how);
      this.#recordHealth(task, how);
      if (how !== "done") {
        log.info("run.ended", { task, run, worker, how });
      }
    }
    for (const { task, run, worker } of dropped) {
      log.info("run.dropped", { task, run, worker, reason: "never started" });
    }
    onChange();
  }

  #recordHealth(task: string, how: RunOutcome): void {
    const { health, clock, log } = this.#parts;
    const job = parseTaskName(task)?.job ?? "";
    const worker = this.#worker().id;
    const now = clock.monotonic();
    if (health.recordEnd(worker, job, how, now)) {
      log.warn("worker.paused", {
        worker,
        reason: "runs fail there",
        forMs: (health.pauseOf(worker, now)?.until ?? now) - now,
      });
    }
  }

  #recordDuration(task: string, run: number, how: RunOutcome): void {
    const startedRun = this.#startedRuns.get(task);
    this.#startedRuns.delete(task);
    if (startedRun?.run === run && how === "done") {
      const { estimate, speed, clock } = this.#parts;
      const { queue, estimatedMs, expectedMs, startedAt } = startedRun;
      const now = clock.monotonic();
      const tookMs = now - startedAt;
      if (expectedMs !== undefined) {
        this.#recordSpeed(task, run, expectedMs, tookMs, now);
      }
      // The durations on a slow worker tell of the worker, not of the queue.
      if (speed.factor(this.#worker().id) === 1) {
        estimate.observe(queue, estimatedMs, tookMs);
      }
    }
  }
}
