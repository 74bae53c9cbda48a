/**
 * Simulates a worker: its platform agent and the tasks that it runs under leases.
 *
 * @module
 */
import type {
  AgentOperation,
  AgentReport,
  RunOutcome,
  RunReport,
  Size,
} from "@quetzalcove/core";

const USAGE_SAMPLE_MS = 10_000;
const MEMORY_RAMP_MS = 30_000;
const START_MEMORY_SHARE = 0.2;
const CHECKPOINT_BASE_MS = 200;
const CHECKPOINT_MS_PER_GB = 15;
const FAIL_AFTER_MS = 1_000;
const MB_PER_GB = 1_024;

/** Actual resource usage and run time of a job. */
export interface ActualUsage {
  memoryMb: number;
  millicores: number;
  workMs: number;
  /** Whether the job fails wherever it runs. */
  alwaysFails: boolean;
}

/** Callbacks of a worker, and the source of its jobs' actual usage. */
export interface WorkerListener {
  usageOf: (job: string) => ActualUsage;
  started: (vm: string, job: string) => void;
  ended: (vm: string, job: string, end: TaskEnd) => void;
}

/** The end of a task; `lostMs` is the work since its last checkpoint. */
export interface TaskEnd {
  run: string;
  outcome: RunOutcome;
  lostMs: number;
}

interface Task {
  job: string;
  run: string;
  usage: ActualUsage;
  until: number;
  startedAt: number;
  progressMs: number;
  checkpointedMs: number;
  throttle: number;
  stopAt?: number;
  checkpointDoneAt?: number;
  sampled: { at: number; memoryMb: number; millicores: number };
}

/** A simulated worker. `now` is simulated time; the agent's clock has its own rate and origin. */
export class Worker {
  readonly vm: string;
  /** Whether every run on this worker fails. */
  broken = false;
  up = true;
  incarnation = 1;
  readonly tasks = new Map<string, Task>();
  readonly #size: Size;
  readonly #listener: WorkerListener;
  readonly #clock: (now: number) => number;
  #unacknowledgedEnds = new Map<string, RunReport>();
  /** Runs that must never start again, even after their end has been acknowledged. */
  readonly #tombstones = new Set<string>();
  #term = 0;
  #sequence = 0;
  #advancedAt = 0;

  constructor(
    vm: string,
    { size, listener, clock }: {
      size: Size;
      listener: WorkerListener;
      clock: (now: number) => number;
    },
  ) {
    this.vm = vm;
    this.#size = size;
    this.#listener = listener;
    this.#clock = clock;
  }

  /** Executes an operation and returns a report; undefined when the worker is down. */
  handle(operation: AgentOperation, now: number): AgentReport | undefined {
    if (!this.up) {
      return undefined;
    }
    this.advance(now);
    if (operation.term >= this.#term) {
      this.#term = operation.term;
      if (operation.incarnation === this.incarnation) {
        this.#execute(operation, now);
      }
    }
    return this.report(now);
  }

  /** Reports all runs; their usage lags by up to one sample interval. */
  report(now: number): AgentReport {
    this.#sequence += 1;
    const runs = [...this.#unacknowledgedEnds.values()];
    for (const task of this.tasks.values()) {
      runs.push(this.#describe(task, now));
    }
    return {
      vm: this.vm,
      term: this.#term,
      incarnation: this.incarnation,
      sequence: this.#sequence,
      clock: this.#clock(now),
      lagMs: USAGE_SAMPLE_MS,
      runs,
    };
  }

  /** Crashes the worker; all its tasks are lost. */
  crash(now: number): void {
    this.up = false;
    for (const task of [...this.tasks.values()]) {
      this.#end(task, "lost", now);
    }
    this.#unacknowledgedEnds.clear();
  }

  restart(now: number): void {
    this.up = true;
    this.incarnation += 1;
    this.#advancedAt = now;
  }

  /** Advances tasks to `now`, and ends those whose lease has expired. */
  advance(now: number): void {
    const elapsedMs = now - this.#advancedAt;
    this.#advancedAt = now;
    if (!this.up || this.tasks.size === 0) {
      return;
    }
    const clock = this.#clock(now);
    for (const task of [...this.tasks.values()]) {
      task.progressMs += elapsedMs * task.throttle;
      this.#advanceTask(task, { now, clock });
    }
    this.#killOutOfMemory(now);
  }

  /** Whether a run has ended whose end the leader has not acknowledged. */
  get hasUnacknowledgedEnd(): boolean {
    return this.#unacknowledgedEnds.size > 0;
  }

  get memoryMb(): number {
    let used = 0;
    for (const task of this.tasks.values()) {
      used += memoryOf(task);
    }
    return used;
  }

  #execute(operation: AgentOperation, now: number): void {
    switch (operation.kind) {
      case "renew":
        for (const run of operation.runs) {
          const task = this.tasks.get(run);
          if (task !== undefined) {
            task.until = Math.max(task.until, operation.until);
          }
        }
        operation.forget.forEach((run) => this.#unacknowledgedEnds.delete(run));
        return;
      case "start":
        this.#start(operation, now);
        return;
      case "stop":
        this.#stop(operation.run, now);
        return;
      case "checkpoint":
        this.#checkpoint(operation, now);
        return;
      case "throttle": {
        const task = this.tasks.get(operation.run);
        if (task !== undefined) {
          task.throttle = operation.share;
        }
      }
    }
  }

  #start(
    operation: Extract<AgentOperation, { kind: "start" }>,
    now: number,
  ): void {
    const known = this.tasks.has(operation.run) ||
      this.#tombstones.has(operation.run);
    if (known || this.#clock(now) >= operation.until) {
      return;
    }
    const checkpointedMs = Number(operation.checkpoint ?? 0);
    const usage = this.#listener.usageOf(operation.job);
    this.#tombstones.add(operation.run);
    this.#listener.started(this.vm, operation.job);
    this.tasks.set(operation.run, {
      job: operation.job,
      run: operation.run,
      usage: usage,
      until: operation.until,
      startedAt: now,
      progressMs: checkpointedMs,
      checkpointedMs,
      throttle: 1,
      sampled: { at: now, memoryMb: 0, millicores: 0 },
    });
  }

  #stop(run: string, now: number): void {
    const task = this.tasks.get(run);
    if (task !== undefined) {
      this.#end(task, "stopped", now);
    } else if (!this.#tombstones.has(run)) {
      this.#tombstones.add(run);
      this.#unacknowledgedEnds.set(run, emptyReport(run));
    }
  }

  #checkpoint(
    operation: Extract<AgentOperation, { kind: "checkpoint" }>,
    now: number,
  ): void {
    const task = this.tasks.get(operation.run);
    if (task === undefined) {
      if (operation.stop) {
        this.#stop(operation.run, now);
      }
      return;
    }
    const takesMs = CHECKPOINT_BASE_MS +
      memoryOf(task) / MB_PER_GB * CHECKPOINT_MS_PER_GB;
    if (operation.stop) {
      task.stopAt ??= now + operation.graceMs;
    }
    task.checkpointDoneAt ??= now + takesMs;
  }

  #advanceTask(
    task: Task,
    { now, clock }: { now: number; clock: number },
  ): void {
    if (clock >= task.until) {
      this.#end(task, "expired", now);
      return;
    }
    if (task.checkpointDoneAt !== undefined && now >= task.checkpointDoneAt) {
      task.checkpointedMs = task.progressMs;
      task.checkpointDoneAt = undefined;
      if (task.stopAt !== undefined) {
        this.#end(task, "checkpointed", now);
        return;
      }
    }
    if (task.stopAt !== undefined && now >= task.stopAt) {
      this.#end(task, "stopped", now);
      return;
    }
    if (now - task.sampled.at >= USAGE_SAMPLE_MS) {
      task.sampled = {
        at: now,
        memoryMb: memoryOf(task),
        millicores: task.usage.millicores * task.throttle,
      };
    }
    const failing = task.usage.alwaysFails || this.broken;
    if (failing && now - task.startedAt >= FAIL_AFTER_MS) {
      this.#end(task, "failed", now);
    } else if (task.progressMs >= task.usage.workMs) {
      this.#end(task, "done", now);
    }
  }

  /** Kills the largest task for as long as the tasks use more memory than the worker has. */
  #killOutOfMemory(now: number): void {
    while (this.memoryMb > this.#size.memoryMb && this.tasks.size > 0) {
      const largest = [...this.tasks.values()]
        .reduce((a, b) => memoryOf(a) >= memoryOf(b) ? a : b);
      this.#end(largest, "out of memory", now);
    }
  }

  #end(task: Task, outcome: RunOutcome, now: number): void {
    const report: RunReport = {
      ...this.#describe(task, now),
      phase: "ended",
      outcome,
      memoryMb: memoryOf(task),
      peakMb: memoryOf(task),
      millicores: task.usage.millicores,
    };
    this.#unacknowledgedEnds.set(task.run, report);
    this.tasks.delete(task.run);
    const lostMs = outcome === "done"
      ? 0
      : task.progressMs - task.checkpointedMs;
    const end = { run: task.run, outcome, lostMs };
    this.#listener.ended(this.vm, task.job, end);
  }

  #describe(task: Task, now: number): RunReport {
    return {
      run: task.run,
      phase: "running",
      memoryMb: task.sampled.memoryMb,
      peakMb: task.sampled.memoryMb,
      millicores: task.sampled.millicores,
      runtimeMs: Math.round(now - task.startedAt),
      throttle: task.throttle,
      checkpoint: task.checkpointedMs > 0
        ? String(task.checkpointedMs)
        : undefined,
    };
  }
}

function memoryOf(task: Task): number {
  const rampMs = Math.min(MEMORY_RAMP_MS, task.usage.workMs / 2);
  const share = Math.min(1, START_MEMORY_SHARE + task.progressMs / rampMs);
  return Math.round(task.usage.memoryMb * share);
}

function emptyReport(run: string): RunReport {
  return {
    run,
    phase: "ended",
    outcome: "stopped",
    memoryMb: 0,
    peakMb: 0,
    millicores: 0,
    runtimeMs: 0,
    throttle: 1,
  };
}
