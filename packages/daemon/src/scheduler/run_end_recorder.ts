/**
 * Learns from the committed ends of the runs on one worker: durations of tasks, and the worker's health.
 *
 * @module
 */
import {
  parseTaskName,
  type RunEnd,
  type RunKey,
  type RunOutcome,
  type RunRecord,
} from "@quetzalcove/core/scheduling";
import type { WorkerSessionParts } from "./worker_session_parts.ts";

/** Dependencies of a recorder of run ends. */
export type RunEndRecorderParts = Pick<
  WorkerSessionParts,
  "consensus" | "clock" | "log" | "metrics" | "estimate" | "health" | "onChange"
>;

/** A run that the worker confirmed as started; kept to learn its duration. */
interface StartedRun {
  run: number;
  queue: string;
  estimatedMs: number;
  /** Monotonic time of the start, in milliseconds. */
  startedAt: number;
}

export class RunEndRecorder {
  readonly #parts: RunEndRecorderParts;
  readonly #worker: string;
  /** Runs that this session started, by task. */
  readonly #startedRuns = new Map<string, StartedRun>();

  constructor(worker: string, parts: RunEndRecorderParts) {
    this.#worker = worker;
    this.#parts = parts;
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
        startedAt: now,
      });
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
    const worker = this.#worker;
    if (health.recordEnd(worker, job, how, clock.monotonic())) {
      log.warn("worker.paused", { worker, reason: "runs fail there" });
    }
  }

  #recordDuration(task: string, run: number, how: RunOutcome): void {
    const startedRun = this.#startedRuns.get(task);
    this.#startedRuns.delete(task);
    if (startedRun?.run === run && how === "done") {
      const { estimate, clock } = this.#parts;
      const tookMs = clock.monotonic() - startedRun.startedAt;
      estimate.observe(startedRun.queue, startedRun.estimatedMs, tookMs);
    }
  }
}
