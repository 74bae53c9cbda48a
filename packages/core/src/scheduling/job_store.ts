/**
 * The replicated job book: queues, jobs, runs, workers and waves. Commands are applied in log order on every replica;
 * the result depends on the book and the command alone.
 *
 * @module
 */
import type { Fault } from "../fault.ts";
import { Ok, type Result } from "../result.ts";
import type { StepSpec } from "./batch_job.ts";
import type {
  BookCommand,
  BookOutput,
  RunEnd,
  RunKey,
  SubmittedJob,
  UpkeepWave,
  Worker,
} from "./command.ts";
import {
  type JobRecord,
  type JobTerms,
  newJob,
  newRound,
  roundCount,
  type RoundRecord,
  type RunRecord,
  type TaskRecord,
  type WaitingStep,
} from "./job_record.ts";
import { emptyQueuePlan, type QueuePlan } from "./queue_plan.ts";
import {
  parseTaskName,
  stepName,
  taskName,
  type TaskPlace,
} from "./task_name.ts";
import { WorkerLoad } from "./worker_load.ts";

/** A wave and how far it is. */
export interface WaveRecord {
  wave: UpkeepWave;
  /** VMs whose upkeep was ordered and has not ended, and the workers that they had. */
  down: { vm: string; worker: string | undefined }[];
  /** VMs whose upkeep has ended, or that left the fleet. */
  done: string[];
}

/** The stored form of the book; the indexes are built from it. */
interface BookImage {
  plan: QueuePlan;
  jobs: JobRecord[];
  workers: Worker[];
  waves: WaveRecord[];
  endedWorkers: string[];
}

const DEFAULT_TERMS: JobTerms = {
  priority: 0,
  maxAttempts: 1,
  slackFactor: 1,
  targetLatencyMs: 0,
  advised: false,
};

/** Ended workers that are remembered; their last reports arrive within seconds. */
const MAX_ENDED_WORKERS = 4_096;

/** Jobs kept in the list of those that just ended; a follower never empties it. */
const MAX_JUST_ENDED = 256;

const APPLIED: BookOutput = { kind: "applied" };

export class JobBook {
  plan: QueuePlan = emptyQueuePlan();
  readonly jobs = new Map<string, JobRecord>();
  readonly workers = new Map<string, Worker>();
  readonly waves = new Map<number, WaveRecord>();
  /** Steps with tasks that may be placed, oldest first. */
  readonly waiting = new Map<string, WaitingStep>();
  /** Runs that must be stopped: their job has ended or their task is done. */
  readonly unwanted = new Set<RunRecord>();
  /** Open jobs that are repeated. */
  readonly repeated = new Set<JobRecord>();
  /** Jobs that ended since the list was last emptied; not part of the state, and bounded. */
  readonly justEnded: JobRecord[] = [];
  readonly #loads = new Map<string, WorkerLoad>();
  readonly #unstarted = new Map<string, number>();
  /** Workers that have ended for good, the oldest first. */
  readonly #endedWorkers = new Set<string>();
  /** Jobs that have ended, the oldest first. */
  readonly #ended = new Set<JobRecord>();

  /** Applies one command in place. */
  apply(command: BookCommand): Result<BookOutput, Fault> {
    switch (command.kind) {
      case "plan":
        return Ok(this.#replacePlan(command.plan));
      case "submit":
        command.jobs.forEach((job) => this.#submit(job, command.atMs));
        return Ok(APPLIED);
      case "cancel":
        return Ok(this.#cancel(command.ids, command.atMs));
      case "open":
        command.rounds.forEach(({ job, round }) => this.#open(job, round));
        return Ok(APPLIED);
      case "place":
        command.runs.forEach((run) => this.#place(run));
        return Ok(APPLIED);
      case "settle":
        command.dropped.forEach((run) => this.#release(run));
        command.ends.forEach((end) => this.#end(end, command.atMs));
        return Ok(APPLIED);
      case "join":
        command.workers.forEach((worker) => this.#join(worker));
        return Ok(APPLIED);
      case "lose":
        command.workers.forEach((worker) =>
          this.#lose(worker, command.haveEnded)
        );
        return Ok(APPLIED);
      case "forget":
        this.#forget(command.endedBeforeMs);
        return Ok(APPLIED);
      case "wave":
        this.#startWave(command.wave);
        return Ok(APPLIED);
      case "upkeep":
        this.#noteUpkeep(command);
        return Ok(APPLIED);
    }
  }

  /** What runs on a worker. */
  load(worker: string): WorkerLoad {
    let load = this.#loads.get(worker);
    if (load === undefined) {
      load = new WorkerLoad();
      this.#loads.set(worker, load);
    }
    return load;
  }

  /** Accepted jobs of a queue that have not started, without repeated ones. */
  pendingJobs(queue: string): number {
    return this.#unstarted.get(queue) ?? 0;
  }

  taskOf(run: Pick<RunRecord, "job" | "round" | "step" | "index">):
    | TaskRecord
    | undefined {
    return this.jobs.get(run.job)?.rounds[run.round]?.tasks[run.step]?.[
      run.index
    ];
  }

  /** The run of a key, while it has not ended. */
  findRun({ task, run, worker }: RunKey): RunRecord | undefined {
    const found = this.#loads.get(worker)?.runs.get(task);
    return found?.run === run ? found : undefined;
  }

  stepOf(run: Pick<RunRecord, "job" | "step">): StepSpec | undefined {
    return this.jobs.get(run.job)?.spec?.steps[run.step];
  }

  encode(): string {
    const image: BookImage = {
      plan: this.plan,
      jobs: [...this.jobs.values()],
      workers: [...this.workers.values()],
      waves: [...this.waves.values()],
      endedWorkers: [...this.#endedWorkers],
    };
    return JSON.stringify(image);
  }

  /** Builds a book from its stored form. */
  static decode(text: string): JobBook {
    const image = JSON.parse(text) as BookImage;
    const book = new JobBook();
    book.plan = image.plan;
    image.workers.forEach((worker) => book.workers.set(worker.id, worker));
    image.waves.forEach((record) => book.waves.set(record.wave.id, record));
    image.endedWorkers.forEach((id) => book.#endedWorkers.add(id));
    image.jobs.forEach((job) => book.#adopt(job));
    return book;
  }

  #adopt(job: JobRecord): void {
    this.jobs.set(job.id, job);
    const isOpen = job.outcome === "open";
    if (!isOpen) {
      this.#ended.add(job);
    } else if (job.spec?.repeat !== undefined) {
      this.repeated.add(job);
    } else if (!job.hasStarted) {
      this.#countUnstarted(job, 1);
    }
    for (const [key, record] of Object.entries(job.rounds)) {
      const round = Number(key);
      record.tasks.forEach((tasks, step) => {
        tasks.forEach((task, index) =>
          this.#adoptRun(job, { job: job.id, round, step, index }, task)
        );
        if (isOpen) {
          this.#queueStep(job, round, step);
        }
      });
    }
  }

  #adoptRun(
    job: JobRecord,
    place: TaskPlace,
    { run, worker, isDone }: TaskRecord,
  ): void {
    const spec = job.spec?.steps[place.step];
    if (worker === undefined || spec === undefined) {
      return;
    }
    const record = { ...place, task: taskName(place), run, worker };
    this.load(worker).add(record, spec);
    if (job.outcome !== "open" || isDone) {
      this.unwanted.add(record);
    }
  }

  #replacePlan(plan: QueuePlan): BookOutput {
    if (plan.version > this.plan.version) {
      this.plan = plan;
    }
    return { kind: "planned", version: this.plan.version };
  }

  #submit(submitted: SubmittedJob, atMs: number): void {
    if (this.jobs.has(submitted.id)) {
      return;
    }
    const queue = this.plan.queues.find(({ name }) => name === submitted.queue);
    const job = newJob(submitted, termsOf(queue ?? DEFAULT_TERMS), atMs);
    this.jobs.set(job.id, job);
    if (submitted.spec.repeat === undefined) {
      this.#countUnstarted(job, 1);
      this.#open(job.id, 0);
    } else {
      this.repeated.add(job);
    }
  }

  #open(id: string, round: number): void {
    const job = this.jobs.get(id);
    if (
      job?.outcome !== "open" || job.spec === undefined ||
      round !== job.opened || round >= roundCount(job)
    ) {
      return;
    }
    job.opened += 1;
    job.rounds[round] = newRound(job.spec.steps);
    job.spec.steps.forEach((_, step) => this.#queueStep(job, round, step));
  }

  /** Lists a step as waiting when its dependencies are done and a task of it has no run. */
  #queueStep(job: JobRecord, round: number, step: number): void {
    const record = job.rounds[round];
    const spec = job.spec?.steps[step];
    if (record === undefined || spec === undefined) {
      return;
    }
    if (spec.dependsOn.some((other) => record.left[other] !== 0)) {
      return;
    }
    const tasks = record.tasks[step] ?? [];
    const indices = new Set<number>();
    tasks.forEach((task, index) => {
      if (!task.isDone && task.worker === undefined) {
        indices.add(index);
      }
    });
    const name = stepName({ job: job.id, round, step });
    if (indices.size > 0) {
      this.waiting.set(name, { name, job, round, step, spec, indices });
    } else {
      this.waiting.delete(name);
    }
  }

  #cancel(ids: readonly string[], atMs: number): BookOutput {
    const unknown: string[] = [];
    for (const id of ids) {
      const job = this.jobs.get(id);
      if (job === undefined) {
        unknown.push(id);
      } else if (job.outcome === "open") {
        this.#close(job, "cancelled", atMs);
      }
    }
    return { kind: "cancelled", unknown };
  }

  #place(key: RunKey): void {
    const place = parseTaskName(key.task);
    const job = place === undefined ? undefined : this.jobs.get(place.job);
    if (place === undefined || job?.outcome !== "open") {
      return;
    }
    const task = this.taskOf(place);
    const spec = job.spec?.steps[place.step];
    const isFree = task !== undefined && !task.isDone &&
      task.worker === undefined && key.run > task.run;
    if (!isFree || spec === undefined || !this.workers.has(key.worker)) {
      return;
    }
    task.run = key.run;
    task.worker = key.worker;
    this.load(key.worker).add({ ...place, ...key }, spec);
    job.activeRuns += 1;
    if (!job.hasStarted) {
      job.hasStarted = true;
      if (job.spec?.repeat === undefined) {
        this.#countUnstarted(job, -1);
      }
    }
    this.#unqueue(stepName(place), place.index);
  }

  #unqueue(name: string, index: number): void {
    const waiting = this.waiting.get(name);
    if (waiting?.indices.delete(index) && waiting.indices.size === 0) {
      this.waiting.delete(name);
    }
  }

  /** Frees the room of a run; its task waits again unless it is done or its job has ended. */
  #release(key: RunKey): void {
    const run = this.findRun(key);
    const job = run === undefined ? undefined : this.jobs.get(run.job);
    const task = run === undefined ? undefined : this.taskOf(run);
    const spec = run === undefined ? undefined : this.stepOf(run);
    if (
      run === undefined || job === undefined || task === undefined ||
      spec === undefined
    ) {
      return;
    }
    this.load(run.worker).remove(run, spec);
    this.unwanted.delete(run);
    task.worker = undefined;
    job.activeRuns -= 1;
    if (job.outcome === "open") {
      this.#queueStep(job, run.round, run.step);
    } else {
      this.#strip(job);
    }
  }

  #end(end: RunEnd, atMs: number): void {
    const place = parseTaskName(end.task);
    const job = place === undefined ? undefined : this.jobs.get(place.job);
    const record = job?.rounds[place?.round ?? -1];
    const task = place === undefined ? undefined : this.taskOf(place);
    const spec = place === undefined ? undefined : job?.spec?.steps[place.step];
    const wasActive = this.findRun(end) !== undefined;
    if (
      place === undefined || job === undefined || record === undefined ||
      task === undefined || spec === undefined || end.run > task.run
    ) {
      return;
    }
    if (end.checkpoint !== "" && !task.isDone) {
      // Members of a gang resume from one common checkpoint.
      const heirs = spec.gang ? record.tasks[place.step] ?? [] : [task];
      heirs.forEach((heir) => heir.checkpoint = end.checkpoint);
    }
    if (end.how === "done" && !task.isDone && job.outcome === "open") {
      const members = spec.gang ? record.tasks[place.step] ?? [] : [task];
      members.forEach((member) => this.#markDone(record, place.step, member));
      // A late report may be of a task that waits for its next run.
      this.#queueStep(job, place.round, place.step);
      this.#release(end);
      this.#afterTaskDone(job, place.round, place.step, atMs);
      return;
    }
    if (end.how === "failed" && wasActive) {
      task.failures += 1;
      task.lastFailure = { worker: end.worker, atMs };
      const failures = spec.gang
        ? sum(record.tasks[place.step]?.map((member) => member.failures) ?? [])
        : task.failures;
      if (!spec.lasting && failures >= job.terms.maxAttempts) {
        this.#close(job, "failed", atMs);
      }
    }
    this.#release(end);
  }

  #markDone(record: RoundRecord, step: number, task: TaskRecord): void {
    if (!task.isDone) {
      task.isDone = true;
      record.left[step] = (record.left[step] ?? 0) - 1;
    }
  }

  #afterTaskDone(
    job: JobRecord,
    round: number,
    step: number,
    atMs: number,
  ): void {
    const record = job.rounds[round];
    if (record === undefined || job.spec === undefined) {
      return;
    }
    this.#markUnwanted(job, round, step);
    if (record.left[step] !== 0) {
      return;
    }
    this.waiting.delete(stepName({ job: job.id, round, step }));
    job.spec.steps.forEach((spec, other) => {
      if (spec.dependsOn.includes(step)) {
        this.#queueStep(job, round, other);
      }
    });
    if (record.left.every((left) => left === 0)) {
      job.finished += 1;
      if (job.finished === roundCount(job)) {
        this.#close(job, "completed", atMs);
      }
    }
  }

  /** Runs of tasks that are done, for instance of members of a gang, need not go on. */
  #markUnwanted(job: JobRecord, round: number, step: number): void {
    const tasks = job.rounds[round]?.tasks[step] ?? [];
    tasks.forEach((task, index) => {
      if (task.isDone) {
        this.#disown({ job: job.id, round, step, index }, task);
      }
    });
  }

  /** Wants the run of a task stopped, if it has one. */
  #disown(place: TaskPlace, { worker }: TaskRecord): void {
    const run = worker === undefined
      ? undefined
      : this.load(worker).runs.get(taskName(place));
    if (run !== undefined) {
      this.unwanted.add(run);
    }
  }

  #close(
    job: JobRecord,
    outcome: "completed" | "failed" | "cancelled",
    atMs: number,
  ): void {
    if (!job.hasStarted && job.spec?.repeat === undefined) {
      this.#countUnstarted(job, -1);
    }
    job.outcome = outcome;
    job.endedAtMs = atMs;
    this.repeated.delete(job);
    this.#ended.add(job);
    this.#announceEnd(job);
    for (const [key, record] of Object.entries(job.rounds)) {
      const round = Number(key);
      record.tasks.forEach((tasks, step) => {
        this.waiting.delete(stepName({ job: job.id, round, step }));
        tasks.forEach((task, index) =>
          this.#disown({ job: job.id, round, step, index }, task)
        );
      });
    }
    this.#strip(job);
  }

  #announceEnd(job: JobRecord): void {
    if (this.justEnded.length >= MAX_JUST_ENDED) {
      this.justEnded.shift();
    }
    this.justEnded.push(job);
  }

  /** Of a job that has ended and no longer runs, only the outcome is kept. */
  #strip(job: JobRecord): void {
    if (job.outcome !== "open" && job.activeRuns === 0) {
      job.spec = undefined;
      job.rounds = {};
    }
  }

  #join(worker: Worker): void {
    if (!this.#endedWorkers.has(worker.id)) {
      this.workers.set(worker.id, worker);
    }
  }

  #lose(id: string, hasEnded: boolean): void {
    this.workers.delete(id);
    if (hasEnded) {
      this.#endedWorkers.add(id);
      const [oldest] = this.#endedWorkers;
      if (this.#endedWorkers.size > MAX_ENDED_WORKERS && oldest !== undefined) {
        this.#endedWorkers.delete(oldest);
      }
    }
    const load = this.#loads.get(id);
    for (const run of [...load?.runs.values() ?? []]) {
      this.#release(run);
    }
    this.#loads.delete(id);
  }

  #forget(endedBeforeMs: number): void {
    for (const job of this.#ended) {
      const isOld = (job.endedAtMs ?? 0) < endedBeforeMs;
      if (isOld && job.activeRuns === 0) {
        this.#ended.delete(job);
        this.jobs.delete(job.id);
      }
    }
  }

  #startWave(wave: UpkeepWave): void {
    if (!this.waves.has(wave.id)) {
      this.waves.set(wave.id, { wave, down: [], done: [] });
    }
  }

  #noteUpkeep(
    { wave, vm, phase, worker }: Extract<BookCommand, { kind: "upkeep" }>,
  ): void {
    const record = this.waves.get(wave);
    if (record === undefined || record.done.includes(vm)) {
      return;
    }
    record.down = record.down.filter((other) => other.vm !== vm);
    if (phase === "begun") {
      record.down.push({ vm, worker });
    } else if (phase !== "refused") {
      record.done.push(vm);
    }
  }

  #countUnstarted({ queue }: JobRecord, by: 1 | -1): void {
    this.#unstarted.set(queue, (this.#unstarted.get(queue) ?? 0) + by);
  }
}

function termsOf(queue: JobTerms): JobTerms {
  const { priority, maxAttempts, slackFactor, targetLatencyMs, advised } =
    queue;
  return { priority, maxAttempts, slackFactor, targetLatencyMs, advised };
}

function sum(values: readonly number[]): number {
  return values.reduce((total, value) => total + value, 0);
}
