/**
 * A small model of a worker: its platform agent and the tasks that it runs under leases.
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

const SAMPLE_MS = 10_000;
const RAMP_MS = 30_000;
const START_MEMORY_SHARE = 0.2;
const CHECKPOINT_BASE_MS = 200;
const CHECKPOINT_MS_PER_GB = 15;
const FAIL_AFTER_MS = 1_000;
const MB_PER_GB = 1_024;

/** What a job really needs. */
export interface Truth {
  memoryMb: number;
  millicores: number;
  workMs: number;
  /** The job fails wherever it runs. */
  bad: boolean;
}

/** What the worker tells the one who watches it. */
export interface Watcher {
  truth: (job: string) => Truth;
  started: (vm: string, job: string) => void;
  ended: (vm: string, job: string, end: TaskEnd) => void;
}

/** The end of a task, with the work that no checkpoint holds. */
export interface TaskEnd {
  run: string;
  outcome: RunOutcome;
  lostMs: number;
}

interface Task {
  job: string;
  run: string;
  truth: Truth;
  until: number;
  startedAt: number;
  progressMs: number;
  savedMs: number;
  throttle: number;
  leavingAt?: number;
  savingAt?: number;
  sampled: { at: number; memoryMb: number; millicores: number };
}

/** One worker. `now` is true time; the agent's clock runs at its own rate from its own origin. */
export class Worker {
  readonly vm: string;
  /** Whether everything that starts here fails. */
  broken = false;
  up = true;
  incarnation = 1;
  readonly tasks = new Map<string, Task>();
  readonly #size: Size;
  readonly #watcher: Watcher;
  readonly #clock: (now: number) => number;
  #ended = new Map<string, RunReport>();
  /** Runs that never start again, also after they are forgotten. */
  readonly #tombstones = new Set<string>();
  #term = 0;
  #sequence = 0;
  #advancedAt = 0;

  constructor(
    vm: string,
    { size, watcher, clock }: {
      size: Size;
      watcher: Watcher;
      clock: (now: number) => number;
    },
  ) {
    this.vm = vm;
    this.#size = size;
    this.#watcher = watcher;
    this.#clock = clock;
  }

  /** Carries out an operation; undefined when the worker is down. */
  handle(operation: AgentOperation, now: number): AgentReport | undefined {
    if (!this.up) {
      return undefined;
    }
    this.advance(now);
    if (operation.term >= this.#term) {
      this.#term = operation.term;
      if (operation.incarnation === this.incarnation) {
        this.#carryOut(operation, now);
      }
    }
    return this.report(now);
  }

  /** All runs with their lagging usage. */
  report(now: number): AgentReport {
    this.#sequence += 1;
    const runs = [...this.#ended.values()];
    for (const task of this.tasks.values()) {
      runs.push(this.#describe(task, now));
    }
    return {
      vm: this.vm,
      term: this.#term,
      incarnation: this.incarnation,
      sequence: this.#sequence,
      clock: this.#clock(now),
      lagMs: SAMPLE_MS,
      runs,
    };
  }

  /** The worker fails; its tasks end with it. */
  crash(now: number): void {
    this.up = false;
    for (const task of [...this.tasks.values()]) {
      this.#end(task, "lost", now);
    }
    this.#ended.clear();
  }

  restart(now: number): void {
    this.up = true;
    this.incarnation += 1;
    this.#advancedAt = now;
  }

  /** Lets tasks work until `now`, and ends those whose lease ran out. */
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
    this.#killForMemory(now);
  }

  /** Whether a run has ended that the leader has not told to forget. */
  get hasEnded(): boolean {
    return this.#ended.size > 0;
  }

  get memoryMb(): number {
    let used = 0;
    for (const task of this.tasks.values()) {
      used += memoryOf(task);
    }
    return used;
  }

  #carryOut(operation: AgentOperation, now: number): void {
    switch (operation.kind) {
      case "renew":
        for (const run of operation.runs) {
          const task = this.tasks.get(run);
          if (task !== undefined) {
            task.until = Math.max(task.until, operation.until);
          }
        }
        operation.forget.forEach((run) => this.#ended.delete(run));
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
    const savedMs = Number(operation.checkpoint ?? 0);
    const truth = this.#watcher.truth(operation.job);
    this.#tombstones.add(operation.run);
    this.#watcher.started(this.vm, operation.job);
    this.tasks.set(operation.run, {
      job: operation.job,
      run: operation.run,
      truth,
      until: operation.until,
      startedAt: now,
      progressMs: savedMs,
      savedMs,
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
      this.#ended.set(run, emptyReport(run));
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
      task.leavingAt ??= now + operation.graceMs;
    }
    task.savingAt ??= now + takesMs;
  }

  #advanceTask(
    task: Task,
    { now, clock }: { now: number; clock: number },
  ): void {
    if (clock >= task.until) {
      this.#end(task, "expired", now);
      return;
    }
    if (task.savingAt !== undefined && now >= task.savingAt) {
      task.savedMs = task.progressMs;
      task.savingAt = undefined;
      if (task.leavingAt !== undefined) {
        this.#end(task, "checkpointed", now);
        return;
      }
    }
    if (task.leavingAt !== undefined && now >= task.leavingAt) {
      this.#end(task, "stopped", now);
      return;
    }
    if (now - task.sampled.at >= SAMPLE_MS) {
      task.sampled = {
        at: now,
        memoryMb: memoryOf(task),
        millicores: task.truth.millicores * task.throttle,
      };
    }
    const failing = task.truth.bad || this.broken;
    if (failing && now - task.startedAt >= FAIL_AFTER_MS) {
      this.#end(task, "failed", now);
    } else if (task.progressMs >= task.truth.workMs) {
      this.#end(task, "done", now);
    }
  }

  /** Ends the largest task while the tasks use more memory than the worker has. */
  #killForMemory(now: number): void {
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
      millicores: task.truth.millicores,
    };
    this.#ended.set(task.run, report);
    this.tasks.delete(task.run);
    const lostMs = outcome === "done" ? 0 : task.progressMs - task.savedMs;
    const end = { run: task.run, outcome, lostMs };
    this.#watcher.ended(this.vm, task.job, end);
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
      checkpoint: task.savedMs > 0 ? String(task.savedMs) : undefined,
    };
  }
}

function memoryOf(task: Task): number {
  const rampMs = Math.min(RAMP_MS, task.truth.workMs / 2);
  const share = Math.min(1, START_MEMORY_SHARE + task.progressMs / rampMs);
  return Math.round(task.truth.memoryMb * share);
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
