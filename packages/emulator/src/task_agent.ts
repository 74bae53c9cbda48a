/**
 * An emulated platform agent that runs tasks under leases. A task is a timer; its text gives its run time as JSON, for
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

const TICK_MS = 20;
const CHECKPOINT_MS = 100;
const Task = z.object({ runMs: z.number() });

/** One event of a task, as the record of the agent tells it. */
export interface TaskEvent {
  event: "started" | "ended";
  vm: string;
  job: string;
  run: string;
  outcome?: RunOutcome;
  at: number;
}

/** What an emulated task agent is built with. */
export interface TaskAgentSetup {
  vm: string;
  host: string;
  port: number;
  record: (event: TaskEvent) => void;
}

interface Running {
  job: string;
  run: string;
  until: number;
  runMs: number;
  startedAt: number;
  workedMs: number;
  savedMs: number;
  throttle: number;
  savingAt?: number;
  leaving: (() => void)[];
  leavingAt?: number;
}

type OperationOf<K extends AgentOperation["kind"]> = Extract<
  AgentOperation,
  { kind: K }
>;

export class TaskAgent {
  readonly #setup: TaskAgentSetup;
  readonly #server: Server;
  readonly #running = new Map<string, Running>();
  readonly #ended = new Map<string, RunReport>();
  /** Runs that never start again. */
  readonly #known = new Set<string>();
  readonly #incarnation = Date.now();
  #sequence = 0;
  #term = 0;
  #timer: NodeJS.Timeout | undefined;
  #advancedAt = performance.now();

  constructor(setup: TaskAgentSetup) {
    this.#setup = setup;
    this.#server = createServer((request, response) =>
      void this.#serve(request, response)
    );
  }

  start(): Promise<void> {
    this.#timer = setInterval(() => this.#advance(), TICK_MS);
    const { host, port } = this.#setup;
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
    await this.#take(parsed.data);
    response.writeHead(200, { "content-type": "application/json" });
    response.end(JSON.stringify(this.#report()));
  }

  async #take(operation: AgentOperation): Promise<void> {
    this.#advance();
    if (operation.term < this.#term) {
      return;
    }
    this.#term = operation.term;
    if (operation.incarnation === this.#incarnation) {
      await this.#carryOut(operation);
    }
  }

  async #carryOut(operation: AgentOperation): Promise<void> {
    switch (operation.kind) {
      case "renew":
        this.#renew(operation);
        return await this.#awaitEnd(operation.waitMs);
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
        task.until = Math.max(task.until, until);
      }
    }
    forget.forEach((run) => this.#ended.delete(run));
  }

  /** Waits until a run has ended that the leader does not know of, or the time is over. */
  async #awaitEnd(waitMs: number): Promise<void> {
    const deadline = performance.now() + waitMs;
    while (this.#ended.size === 0 && performance.now() < deadline) {
      await new Promise((resolve) => setTimeout(resolve, TICK_MS));
    }
  }

  #start(operation: OperationOf<"start">): void {
    const { run, job, until, task, checkpoint } = operation;
    if (this.#known.has(run) || performance.now() >= until) {
      return;
    }
    this.#known.add(run);
    const savedMs = Number(checkpoint ?? 0);
    const { runMs } = Task.parse(JSON.parse(task));
    this.#running.set(run, {
      job,
      run,
      until,
      runMs,
      startedAt: performance.now(),
      workedMs: savedMs,
      savedMs,
      throttle: 1,
      leaving: [],
    });
    const { vm, record } = this.#setup;
    record({ event: "started", vm, job, run, at: Date.now() });
  }

  #stop(run: string): void {
    const task = this.#running.get(run);
    if (task !== undefined) {
      this.#end(task, "stopped");
    } else if (!this.#known.has(run)) {
      this.#known.add(run);
      this.#ended.set(run, reportOf(run));
    }
  }

  /** Answers a checkpoint that stops the run once the run has ended. */
  #checkpoint(operation: OperationOf<"checkpoint">): Promise<void> {
    const task = this.#running.get(operation.run);
    if (task === undefined) {
      if (operation.stop) {
        this.#stop(operation.run);
      }
      return Promise.resolve();
    }
    const now = performance.now();
    task.savingAt ??= now + CHECKPOINT_MS;
    if (!operation.stop) {
      return Promise.resolve();
    }
    task.leavingAt ??= now + operation.graceMs;
    return new Promise((resolve) => task.leaving.push(resolve));
  }

  #advance(): void {
    const now = performance.now();
    const elapsedMs = now - this.#advancedAt;
    this.#advancedAt = now;
    for (const task of [...this.#running.values()]) {
      // A lease that ran out while the process was frozen ends the task before it works on.
      if (now >= task.until) {
        this.#end(task, "expired");
        continue;
      }
      task.workedMs += elapsedMs * task.throttle;
      if (task.savingAt !== undefined && now >= task.savingAt) {
        task.savedMs = task.workedMs;
        task.savingAt = undefined;
      }
      const saved = task.leavingAt !== undefined && task.savingAt === undefined;
      if (task.workedMs >= task.runMs) {
        this.#end(task, "done");
      } else if (saved) {
        this.#end(task, "checkpointed");
      } else if (now >= (task.leavingAt ?? Infinity)) {
        this.#end(task, "stopped");
      }
    }
  }

  #end(task: Running, outcome: RunOutcome): void {
    const { job, run } = task;
    this.#running.delete(run);
    this.#ended.set(run, { ...this.#describe(task), phase: "ended", outcome });
    const { vm, record } = this.#setup;
    record({ event: "ended", vm, job, run, outcome, at: Date.now() });
    task.leaving.forEach((resolve) => resolve());
  }

  #describe(task: Running): RunReport {
    return {
      ...reportOf(task.run),
      phase: "running",
      outcome: undefined,
      memoryMb: 512,
      peakMb: 512,
      millicores: 500,
      runtimeMs: Math.round(performance.now() - task.startedAt),
      throttle: task.throttle,
      checkpoint: task.savedMs > 0 ? String(task.savedMs) : undefined,
    };
  }

  #report(): AgentReport {
    this.#sequence += 1;
    return {
      vm: this.#setup.vm,
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

function reportOf(run: string): RunReport {
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
