/**
 * An emulated platform agent that runs tasks under leases. A task is a timer whose run time is given as JSON, for
 * example `{"runMs":500}`.
 *
 * @module
 */
import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from "node:http";
import { performance } from "node:perf_hooks";
import {
  AgentOperation,
  type AgentReport,
  type RunOutcome,
  type RunReport,
} from "@quetzalcove/core";
import { z } from "zod";

const TICK_INTERVAL_MS = 20;
/** Time to write an emulated checkpoint. */
const CHECKPOINT_DURATION_MS = 100;
const Task = z.object({ runMs: z.number() });

/** An event of a task, as recorded by the agent. */
export interface TaskEvent {
  event: "started" | "ended";
  vm: string;
  job: string;
  run: string;
  outcome?: RunOutcome;
  /** Wall-clock time in milliseconds. */
  at: number;
}

/** Options of an emulated task agent. */
export interface TaskAgentOptions {
  vm: string;
  host: string;
  port: number;
  record: (event: TaskEvent) => void;
}

/** A running task. Times are on the agent's monotonic clock. */
interface RunningTask {
  job: string;
  run: string;
  /** End of the lease. */
  expiresAt: number;
  runMs: number;
  startedAt: number;
  /** Part of `runMs` that is done. */
  progressMs: number;
  /** Progress in the last checkpoint. */
  checkpointedMs: number;
  /** Fraction of the full speed, from 0 to 1. */
  throttle: number;
  /** Undefined if no checkpoint is being written. */
  checkpointDoneAt?: number;
  /** Called when the run has ended. */
  onEnded: (() => void)[];
  /** Time at which a stopping run ends even without a checkpoint. */
  stopDeadline?: number;
}

type OperationOf<K extends AgentOperation["kind"]> = Extract<
  AgentOperation,
  { kind: K }
>;

export class TaskAgent {
  readonly #options: TaskAgentOptions;
  readonly #server: Server;
  readonly #running = new Map<string, RunningTask>();
  readonly #ended = new Map<string, RunReport>();
  /** Runs that were started, or stopped before their start; they are never started again. */
  readonly #knownRuns = new Set<string>();
  readonly #incarnation = Date.now();
  #sequence = 0;
  #term = 0;
  #timer: NodeJS.Timeout | undefined;
  #advancedAt = performance.now();

  constructor(options: TaskAgentOptions) {
    this.#options = options;
    this.#server = createServer((request, response) =>
      void this.#serve(request, response)
    );
  }

  start(): Promise<void> {
    this.#timer = setInterval(() => this.#advance(), TICK_INTERVAL_MS);
    const { host, port } = this.#options;
    return new Promise((resolve, reject) => {
      this.#server.once("error", reject);
      this.#server.listen({ host, port }, resolve);
    });
  }

  async #serve(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const chunks: string[] = [];
    for await (const chunk of request) {
      chunks.push(String(chunk));
    }
    const parsed = AgentOperation.safeParse(JSON.parse(chunks.join("")));
    if (!parsed.success) {
      response.writeHead(400).end();
      return;
    }
    await this.#accept(parsed.data);
    response.writeHead(200, { "content-type": "application/json" });
    response.end(JSON.stringify(this.#report()));
  }

  async #accept(operation: AgentOperation): Promise<void> {
    this.#advance();
    if (operation.term < this.#term) {
      return;
    }
    this.#term = operation.term;
    if (operation.incarnation === this.#incarnation) {
      await this.#execute(operation);
    }
  }

  async #execute(operation: AgentOperation): Promise<void> {
    switch (operation.kind) {
      case "renew":
        this.#renew(operation);
        return await this.#waitForUnreportedEnd(operation.waitMs);
      case "start":
        return this.#start(operation);
      case "stop":
        return this.#stop(operation.run);
      case "checkpoint":
        return await this.#checkpoint(operation);
      case "throttle": {
        const task = this.#running.get(operation.run);
        if (task !== undefined) {
          task.throttle = operation.share;
        }
      }
    }
  }

  #renew({ runs, until, forget }: OperationOf<"renew">): void {
    for (const run of runs) {
      const task = this.#running.get(run);
      if (task !== undefined) {
        task.expiresAt = Math.max(task.expiresAt, until);
      }
    }
    forget.forEach((run) => this.#ended.delete(run));
  }

  /** Waits until there is an ended run that the leader has not told the agent to forget, up to `waitMs`. */
  async #waitForUnreportedEnd(waitMs: number): Promise<void> {
    const deadline = performance.now() + waitMs;
    while (this.#ended.size === 0 && performance.now() < deadline) {
      await new Promise((resolve) => setTimeout(resolve, TICK_INTERVAL_MS));
    }
  }

  #start(operation: OperationOf<"start">): void {
    const { run, job, until, task, checkpoint } = operation;
    if (this.#knownRuns.has(run) || performance.now() >= until) {
      return;
    }
    this.#knownRuns.add(run);
    const checkpointedMs = Number(checkpoint ?? 0);
    const { runMs } = Task.parse(JSON.parse(task));
    this.#running.set(run, {
      job,
      run,
      expiresAt: until,
      runMs,
      startedAt: performance.now(),
      progressMs: checkpointedMs,
      checkpointedMs: checkpointedMs,
      throttle: 1,
      onEnded: [],
    });
    const { vm, record } = this.#options;
    record({ event: "started", vm, job, run, at: Date.now() });
  }

  #stop(run: string): void {
    const task = this.#running.get(run);
    if (task !== undefined) {
      this.#end(task, "stopped");
    } else if (!this.#knownRuns.has(run)) {
      this.#knownRuns.add(run);
      this.#ended.set(run, endedReport(run));
    }
  }

  /** If the checkpoint is to stop the run, resolves only once the run has ended. */
  #checkpoint(operation: OperationOf<"checkpoint">): Promise<void> {
    const task = this.#running.get(operation.run);
    if (task === undefined) {
      if (operation.stop) {
        this.#stop(operation.run);
      }
      return Promise.resolve();
    }
    const now = performance.now();
    task.checkpointDoneAt ??= now + CHECKPOINT_DURATION_MS;
    if (!operation.stop) {
      return Promise.resolve();
    }
    task.stopDeadline ??= now + operation.graceMs;
    return new Promise((resolve) => task.onEnded.push(resolve));
  }

  #advance(): void {
    const now = performance.now();
    const elapsedMs = now - this.#advancedAt;
    this.#advancedAt = now;
    for (const task of [...this.#running.values()]) {
      // A lease may expire while the process is frozen; the task must then end without further progress.
      if (now >= task.expiresAt) {
        this.#end(task, "expired");
        continue;
      }
      task.progressMs += elapsedMs * task.throttle;
      if (task.checkpointDoneAt !== undefined && now >= task.checkpointDoneAt) {
        task.checkpointedMs = task.progressMs;
        task.checkpointDoneAt = undefined;
      }
      const isCheckpointed = task.stopDeadline !== undefined &&
        task.checkpointDoneAt === undefined;
      if (task.progressMs >= task.runMs) {
        this.#end(task, "done");
      } else if (isCheckpointed) {
        this.#end(task, "checkpointed");
      } else if (now >= (task.stopDeadline ?? Infinity)) {
        this.#end(task, "stopped");
      }
    }
  }

  #end(task: RunningTask, outcome: RunOutcome): void {
    const { job, run } = task;
    this.#running.delete(run);
    this.#ended.set(run, { ...this.#describe(task), phase: "ended", outcome });
    const { vm, record } = this.#options;
    record({ event: "ended", vm, job, run, outcome, at: Date.now() });
    task.onEnded.forEach((resolve) => resolve());
  }

  #describe(task: RunningTask): RunReport {
    return {
      ...endedReport(task.run),
      phase: "running",
      outcome: undefined,
      memoryMb: 512,
      peakMb: 512,
      millicores: 500,
      runtimeMs: Math.round(performance.now() - task.startedAt),
      throttle: task.throttle,
      checkpoint: task.checkpointedMs > 0
        ? String(task.checkpointedMs)
        : undefined,
    };
  }

  #report(): AgentReport {
    this.#sequence += 1;
    return {
      vm: this.#options.vm,
      term: this.#term,
      incarnation: this.#incarnation,
      sequence: this.#sequence,
      clock: performance.now(),
      lagMs: 0,
      runs: [
        ...this.#ended.values(),
        ...[...this.#running.values()].map((task) => this.#describe(task)),
      ],
    };
  }
}

function endedReport(run: string): RunReport {
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
