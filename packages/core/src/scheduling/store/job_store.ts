/**
 * The replicated job store: queues, jobs, runs, workers and maintenance waves. A deterministic state machine: every
 * replica applies the commands in log order.
 *
 * @module
 */
import type { Fault } from "../../fault.ts";
import { Ok, type Result } from "../../result.ts";
import type { StepSpec } from "../model/batch_job.ts";
import type {
  CrashSuspect,
  JobStoreCommand,
  JobStoreOutput,
  RunEnd,
  RunKey,
  SubmittedJob,
  VmMove,
  Worker,
} from "../model/command.ts";
import { addCrash, isCrashLoop } from "./crash_suspects.ts";
import {
  isFinished,
  type JobFailure,
  type JobRecord,
  newJob,
  newRound,
  restoreRound,
  roundCount,
  type RoundRecord,
  runBytesOf,
  type RunRecord,
  type StoredJob,
  type WaitingStep,
} from "../model/job_record.ts";
import type { TaskRecord } from "../model/task_record.ts";
import { CustomerLimits } from "../customers/customer_limits.ts";
import { CustomerUsage } from "../customers/customer_usage.ts";
import { HeldMemory } from "./held_memory.ts";
import {
  ENDED_JOB_BYTES,
  ROUND_STEP_BYTES,
  specBytes,
} from "../model/memory_size.ts";
import { EndedJobs } from "./ended_jobs.ts";
import { type EndedLife, EndedWorkers } from "./ended_workers.ts";
import {
  MaintenanceWaves,
  type WaveRecord,
} from "../maintenance/maintenance_waves.ts";
import {
  emptyQueuePlan,
  type JobPolicy,
  policyOf,
  type QueuePlan,
  upgradePlan,
} from "../model/queue_plan.ts";
import {
  parseTaskName,
  taskName,
  type TaskPosition,
} from "../model/task_name.ts";
import type { StepTasks } from "../model/step_tasks.ts";
import { type PlaceableRun, placementUnits } from "./placement_units.ts";
import {
  readSnapshotLines,
  type SnapshotHead,
  StoreSnapshot,
} from "./store_snapshot.ts";
import { WaitingIndex } from "./waiting_index.ts";
import { isLaterLife } from "../workers/worker_life.ts";
import { WorkerLoad } from "../workers/worker_load.ts";

/** The persisted state of the store without its jobs; the indexes are rebuilt from it. */
interface JobStoreSnapshot extends SnapshotHead {
  plan: QueuePlan;
  workers: Worker[];
  waves: WaveRecord[];
  /** Undefined in snapshots of an earlier version. */
  moves?: VmMove[];
  endedWorkers: EndedLife[];
}

/** Policy of a job of an earlier version whose queue has left the plan: it is not given up for want of one. */
const DEFAULT_POLICY: JobPolicy = {
  priority: 0,
  maxAttempts: Number.MAX_SAFE_INTEGER,
  slackFactor: 1,
  targetLatencyMs: 0,
  advised: false,
};

const APPLIED: JobStoreOutput = { kind: "applied" };

export class JobStore {
  plan: QueuePlan = emptyQueuePlan();
  readonly jobs = new Map<string, JobRecord>();
  readonly workers = new Map<string, Worker>();
  /** Active runs that must be stopped: their job has ended or their task is done. */
  readonly runsToStop = new Set<RunRecord>();
  /** Open jobs with a repetition. */
  readonly repeated = new Set<JobRecord>();
  /** What the jobs take in memory. */
  readonly memory = new HeldMemory();
  /** Number of runs that have not ended. */
  activeRuns = 0;
  /** What each customer's runs reserve. */
  readonly customerUsage = new CustomerUsage();
  readonly #loads = new Map<string, WorkerLoad>();
  /** Number of accepted jobs that have not started, without repeated ones, by queue. */
  readonly #unstarted = new Map<string, number>();
  readonly #waiting = new WaitingIndex();
  readonly #waves = new MaintenanceWaves();
  readonly #moves = new Map<string, VmMove>();
  readonly #endedWorkers = new EndedWorkers();
  readonly #endedJobs = new EndedJobs();
  /** The snapshot that is being read, if any. */
  #snapshot: StoreSnapshot | undefined;

  /** Steps with tasks that may be placed, oldest first. */
  get waiting(): ReadonlyMap<string, WaitingStep> {
    return this.#waiting.steps;
  }

  get waves(): ReadonlyMap<number, WaveRecord> {
    return this.#waves.records;
  }

  /** Moves of VMs that were ordered and have not ended, by VM. */
  get moves(): ReadonlyMap<string, VmMove> {
    return this.#moves;
  }

  /** Waves whose maintenance of a VM was ordered and has not ended. */
  wavesTakingDown(vm: string): ReadonlySet<number> {
    return this.#waves.takingDown(vm);
  }

  /** VMs whose maintenance was ordered and has not ended. */
  vmsGoingDown(): string[] {
    return this.#waves.vmsGoingDown();
  }

  /** Jobs that ended since the list was last emptied; bounded, and not part of the replicated state. */
  get justEnded(): JobRecord[] {
    return this.#endedJobs.recent;
  }

  /** Applies one command in place; commands that no longer apply are ignored. */
  apply(command: JobStoreCommand): Result<JobStoreOutput, Fault> {
    switch (command.kind) {
      case "plan":
        return Ok(this.#replacePlan(command.plan));
      case "submit":
        command.jobs.forEach((job) => this.#submitJob(job, command.atMs));
        return Ok(APPLIED);
      case "cancel":
        return Ok(this.#cancelJobs(command.ids, command.atMs));
      case "open":
        command.rounds.forEach(({ job, round }) => this.#openRound(job, round));
        return Ok(APPLIED);
      case "place":
        this.#placeRuns(command.runs);
        return Ok(APPLIED);
      case "settle":
        command.cleared?.forEach((run) => this.#clearSuspicion(run));
        command.dropped.forEach((run) => this.#releaseRun(run));
        command.ends.forEach((end) => this.#endRun(end, command.atMs));
        return Ok(APPLIED);
      case "join":
        command.workers.forEach((worker) => this.#addWorker(worker));
        return Ok(APPLIED);
      case "lose":
        this.#recordCrash(command.suspects ?? [], command.atMs);
        command.workers.forEach((worker) =>
          this.#removeWorker(
            worker,
            command.haveEnded,
            command.births?.[worker],
          )
        );
        command.runs?.forEach((run) => this.#releaseRun(run));
        return Ok(APPLIED);
      case "forget":
        this.#deleteEndedJobs(command.endedBeforeMs);
        return Ok(APPLIED);
      case "wave":
        this.#waves.start(command.wave);
        return Ok(APPLIED);
      case "upkeep":
        this.#waves.record(command);
        return Ok(APPLIED);
      case "move":
        command.ended.forEach((vm) => this.#moves.delete(vm));
        command.begun.forEach((move) => this.#moves.set(move.vm, move));
        return Ok(APPLIED);
    }
  }

  /** The runs on a worker and the resources that they reserve. */
  load(worker: string): WorkerLoad {
    let load = this.#loads.get(worker);
    if (load === undefined) {
      load = new WorkerLoad();
      this.#loads.set(worker, load);
    }
    return load;
  }

  /** Number of accepted jobs of a queue that have not started, without repeated ones. */
  pendingJobs(queue: string): number {
    return this.#unstarted.get(queue) ?? 0;
  }

  taskOf(position: TaskPosition): Readonly<TaskRecord> | undefined {
    return this.tasksOf(position)?.at(position.index);
  }

  /** The tasks of a step of a round. */
  tasksOf(
    { job, round, step }: Omit<TaskPosition, "index">,
  ): StepTasks | undefined {
    return this.jobs.get(job)?.rounds[round]?.tasks[step];
  }

  /** The checkpoint from which the next run of a task resumes; empty for none. */
  checkpointOf(position: TaskPosition): string {
    return this.tasksOf(position)?.checkpointOf(position.index) ?? "";
  }

  /** The run with a key; undefined once it has ended. */
  findRun({ task, run, worker }: RunKey): RunRecord | undefined {
    const found = this.#loads.get(worker)?.runs.get(task);
    return found?.run === run ? found : undefined;
  }

  /** Whether a run's task may have crashed a worker. */
  isSuspected(run: RunRecord): boolean {
    return this.taskOf(run)?.suspicion !== undefined;
  }

  stepOf(run: Pick<RunRecord, "job" | "step">): StepSpec | undefined {
    return this.jobs.get(run.job)?.spec?.steps[run.step];
  }

  /**
   * The store as lines of JSON, which tell of it as it is now, while commands are applied. To be read once, and by one
   * reader at a time: the lines of an earlier call end.
   */
  snapshot(): Iterable<string> {
    const head: Omit<JobStoreSnapshot, "jobs"> = {
      plan: this.plan,
      workers: [...this.workers.values()],
      waves: [...this.waves.values()],
      moves: [...this.#moves.values()],
      endedWorkers: [...this.#endedWorkers.lives],
    };
    const snapshot = new StoreSnapshot(head, this.jobs.values(), () => {
      if (this.#snapshot === snapshot) {
        this.#snapshot = undefined;
      }
    });
    this.#snapshot = snapshot;
    return snapshot.lines();
  }

  /** Restores a store from the lines of a snapshot. */
  static restore(lines: Iterable<string>): JobStore {
    const store = new JobStore();
    const snapshot = readSnapshotLines<JobStoreSnapshot>(lines);
    if (snapshot === undefined) {
      return store;
    }
    const { head, jobs } = snapshot;
    store.plan = upgradePlan(head.plan);
    head.workers.forEach((worker) => store.workers.set(worker.id, worker));
    head.waves.forEach((record) => store.#waves.restore(record));
    head.moves?.forEach((move) => store.#moves.set(move.vm, move));
    head.endedWorkers.forEach((ended) => store.#endedWorkers.restore(ended));
    jobs.forEach((job) => store.#restoreJob(job));
    return store;
  }

  encode(): string {
    return [...this.snapshot()].join("\n");
  }

  /** Restores a store from `encode`'s text. */
  static decode(text: string): JobStore {
    return JobStore.restore(text.split("\n"));
  }

  #restoreJob(stored: StoredJob): void {
    const job: JobRecord = { ...stored, rounds: {} };
    this.jobs.set(job.id, job);
    const isOpen = job.outcome === "open";
    this.memory.add(job, bytesOf(job));
    if (!isOpen) {
      this.#endedJobs.restore(job);
    } else if (job.spec?.repeat !== undefined) {
      this.repeated.add(job);
    } else if (!job.hasStarted) {
      this.#countUnstarted(job, 1);
    }
    for (const [key, storedRound] of Object.entries(stored.rounds)) {
      const round = Number(key);
      const record = restoreRound(storedRound);
      job.rounds[round] = record;
      this.#addRound(job, record, 1);
      record.tasks.forEach((tasks, step) => {
        tasks.records.forEach((task, index) =>
          this.#restoreRun(job, { job: job.id, round, step, index }, task)
        );
        if (isOpen) {
          this.#waiting.update(job, round, step);
        }
      });
      this.#discardRound(job, round);
    }
  }

  #restoreRun(
    job: JobRecord,
    position: TaskPosition,
    { run, worker, isDone }: Readonly<TaskRecord>,
  ): void {
    const spec = job.spec?.steps[position.step];
    if (worker === undefined || spec === undefined) {
      return;
    }
    const record = { ...position, task: taskName(position), run, worker };
    this.activeRuns += 1;
    this.load(worker).add(record, spec);
    this.customerUsage.add(job, spec);
    if (job.outcome !== "open" || isDone) {
      this.runsToStop.add(record);
    }
  }

  #replacePlan(plan: QueuePlan): JobStoreOutput {
    if (plan.version > this.plan.version) {
      this.plan = upgradePlan(plan);
    }
    return { kind: "planned", version: this.plan.version };
  }

  #submitJob(submitted: SubmittedJob, atMs: number): void {
    if (this.jobs.has(submitted.id)) {
      return;
    }
    // The queue may have left the plan since the submission was checked.
    const policy = submitted.policy ??
      this.plan.queues.find(({ name }) => name === submitted.queue) ??
      DEFAULT_POLICY;
    const job = newJob(submitted, policyOf(policy), atMs);
    this.jobs.set(job.id, job);
    this.memory.add(job, bytesOf(job));
    if (submitted.spec.repeat === undefined) {
      this.#countUnstarted(job, 1);
      this.#openRound(job.id, 0);
    } else {
      this.repeated.add(job);
    }
  }

  #openRound(id: string, round: number): void {
    const job = this.jobs.get(id);
    if (
      job?.outcome !== "open" || job.spec === undefined ||
      round !== job.opened || round >= roundCount(job)
    ) {
      return;
    }
    this.#snapshot?.preserve(job);
    job.opened += 1;
    job.rounds[round] = newRound(job.spec.steps);
    this.#addRound(job, job.rounds[round], 1);
    job.spec.steps.forEach((_, step) => this.#waiting.update(job, round, step));
  }

  #cancelJobs(ids: readonly string[], atMs: number): JobStoreOutput {
    const unknown: string[] = [];
    for (const id of ids) {
      const job = this.jobs.get(id);
      if (job === undefined) {
        unknown.push(id);
      } else if (job.outcome === "open") {
        this.#closeJob(job, "cancelled", atMs);
      }
    }
    return { kind: "cancelled", unknown };
  }

  /**
   * Places the runs that the caps of their customers allow at this point of the log, in the order of the pass that chose
   * them; a gang whole or not at all.
   */
  #placeRuns(keys: readonly RunKey[]): void {
    const limits = new CustomerLimits(this.plan.customers, this.customerUsage);
    const runs = keys.flatMap((key) => this.#placeableRun(key) ?? []);
    for (const [first, ...others] of placementUnits(runs)) {
      if (first === undefined) {
        continue;
      }
      const { job, spec } = first;
      const unit = [first, ...others];
      const limit = limits.of(job.customer);
      const allowed = limit?.startable(spec, unit.length) ?? unit.length;
      if (allowed === unit.length) {
        limit?.addPlanned(spec, unit.length);
        unit.forEach((run) => this.#placeRun(run));
      }
    }
  }

  /** The task of a run that may be placed; undefined if the run no longer applies. */
  #placeableRun(key: RunKey): PlaceableRun | undefined {
    const position = parseTaskName(key.task);
    const job = position === undefined
      ? undefined
      : this.jobs.get(position.job);
    if (position === undefined || job?.outcome !== "open") {
      return undefined;
    }
    const tasks = this.tasksOf(position);
    const spec = job.spec?.steps[position.step];
    return tasks !== undefined && isFree(tasks, position.index, key.run) &&
        spec !== undefined && this.workers.has(key.worker)
      ? { key, position, job, tasks, spec }
      : undefined;
  }

  #placeRun({ key, position, job, tasks, spec }: PlaceableRun): void {
    if (!isFree(tasks, position.index, key.run)) {
      // The command names the task twice.
      return;
    }
    this.#snapshot?.preserve(job);
    this.#change(tasks, () => tasks.start(position.index, key));
    this.activeRuns += 1;
    this.load(key.worker).add({ ...position, ...key }, spec);
    this.customerUsage.add(job, spec);
    job.activeRuns += 1;
    if (!job.hasStarted) {
      job.hasStarted = true;
      if (job.spec?.repeat === undefined) {
        this.#countUnstarted(job, -1);
      }
    }
    this.#waiting.update(job, position.round, position.step);
  }

  /** Frees the resources of a run; its task waits again unless it is done or its job has ended. */
  #releaseRun(key: RunKey): void {
    const run = this.findRun(key);
    const job = run === undefined ? undefined : this.jobs.get(run.job);
    const tasks = run === undefined ? undefined : this.tasksOf(run);
    const spec = run === undefined ? undefined : this.stepOf(run);
    if (
      run === undefined || job === undefined || tasks === undefined ||
      spec === undefined
    ) {
      return;
    }
    this.#snapshot?.preserve(job);
    this.load(run.worker).remove(run, spec);
    this.customerUsage.remove(job, spec);
    this.runsToStop.delete(run);
    this.#change(tasks, () => tasks.release(run.index));
    this.activeRuns -= 1;
    job.activeRuns -= 1;
    if (job.outcome === "open") {
      this.#waiting.update(job, run.round, run.step);
      this.#discardRound(job, run.round);
    } else {
      this.#discardDetails(job);
    }
  }

  #endRun(end: RunEnd, atMs: number): void {
    const position = parseTaskName(end.task);
    const job = position === undefined
      ? undefined
      : this.jobs.get(position.job);
    const tasks = position === undefined ? undefined : this.tasksOf(position);
    const task = position === undefined ? undefined : this.taskOf(position);
    const spec = position === undefined
      ? undefined
      : job?.spec?.steps[position.step];
    const wasActive = this.findRun(end) !== undefined;
    if (
      position === undefined || job === undefined || tasks === undefined ||
      task === undefined || spec === undefined || end.run > task.run
    ) {
      return;
    }
    this.#snapshot?.preserve(job);
    const { index } = position;
    if (end.checkpoint !== "" && !task.isDone) {
      this.#change(
        tasks,
        () => tasks.saveCheckpoint(index, end.checkpoint, spec.gang),
      );
    }
    if (end.how === "done" && !task.isDone && job.outcome === "open") {
      this.#completeTasks(job, position, spec.gang);
      this.#releaseRun(end);
      this.#afterTaskDone(job, position, atMs);
      return;
    }
    if (end.how === "failed" && wasActive) {
      const failures = tasks.fail(index, end, { gang: spec.gang, atMs });
      if (!spec.lasting && failures >= job.terms.maxAttempts) {
        this.#failJob(
          job,
          { cause: "failures", task: end.task, count: failures },
          atMs,
        );
      }
    }
    this.#releaseRun(end);
  }

  /** Records that a task, or its gang, is done, and requests the stop of other runs. */
  #completeTasks(job: JobRecord, position: TaskPosition, gang: boolean): void {
    const { round, step } = position;
    const tasks = this.tasksOf(position);
    if (tasks === undefined) {
      return;
    }
    const members = gang
      ? Array.from({ length: tasks.length }, (_, index) => index)
      : [position.index];
    for (const index of members) {
      if (this.#change(tasks, () => tasks.complete(index))) {
        this.#requestStop({ ...position, index }, tasks.at(index));
      }
    }
    // A late report may complete a task that already waits for its next run.
    this.#waiting.update(job, round, step);
  }

  #afterTaskDone(
    job: JobRecord,
    position: TaskPosition,
    atMs: number,
  ): void {
    const { round, step } = position;
    const record = job.rounds[round];
    if (
      record === undefined || job.spec === undefined ||
      this.tasksOf(position)?.left !== 0
    ) {
      return;
    }
    record.openSteps -= 1;
    job.spec.steps.forEach((spec, other) => {
      if (spec.dependsOn.includes(step)) {
        this.#waiting.update(job, round, other);
      }
    });
    if (isFinished(record)) {
      job.finished += 1;
      if (job.finished === roundCount(job)) {
        this.#closeJob(job, "completed", atMs);
      } else {
        this.#discardRound(job, round);
      }
    }
  }

  /** Requests the stop of a task's active run, if any. */
  #requestStop(
    position: TaskPosition,
    task: Readonly<TaskRecord> | undefined,
  ): void {
    const run = task?.worker === undefined
      ? undefined
      : this.load(task.worker).runs.get(taskName(position));
    if (run !== undefined) {
      this.runsToStop.add(run);
    }
  }

  #failJob(job: JobRecord, failure: JobFailure, atMs: number): void {
    this.#snapshot?.preserve(job);
    job.failure = failure;
    this.#closeJob(job, "failed", atMs);
  }

  #closeJob(
    job: JobRecord,
    outcome: "completed" | "failed" | "cancelled",
    atMs: number,
  ): void {
    this.#snapshot?.preserve(job);
    if (!job.hasStarted && job.spec?.repeat === undefined) {
      this.#countUnstarted(job, -1);
    }
    job.outcome = outcome;
    job.endedAtMs = atMs;
    this.repeated.delete(job);
    this.#endedJobs.add(job);
    for (const [key, record] of Object.entries(job.rounds)) {
      const round = Number(key);
      record.tasks.forEach((tasks, step) => {
        this.#waiting.removeStep(job, round, step);
        tasks.records.forEach((task, index) =>
          this.#requestStop({ job: job.id, round, step, index }, task)
        );
      });
    }
    this.#discardDetails(job);
  }

  /** Keeps nothing of a finished round without active runs: what arrives later about its tasks changes nothing. */
  #discardRound(job: JobRecord, round: number): void {
    const record = job.rounds[round];
    if (
      record !== undefined && isFinished(record) &&
      record.tasks.every(({ records }) => records.size === 0)
    ) {
      this.#addRound(job, record, -1);
      delete job.rounds[round];
    }
  }

  /** Keeps only the outcome of a job that has ended and has no active runs. */
  #discardDetails(job: JobRecord): void {
    if (job.outcome !== "open" && job.activeRuns === 0) {
      Object.values(job.rounds).forEach((round) =>
        this.#addRound(job, round, -1)
      );
      const before = bytesOf(job);
      job.spec = undefined;
      job.rounds = {};
      this.memory.add(job, bytesOf(job) - before);
    }
  }

  /** Adds or updates a worker. A life that has ended, or is earlier than the known one, is ignored. */
  #addWorker(worker: Worker): void {
    const { id, bornAtMs } = worker;
    const known = this.workers.get(id)?.bornAtMs;
    if (!this.#endedWorkers.has(worker) && !isLaterLife(bornAtMs, known)) {
      this.#endedWorkers.delete(id);
      this.workers.set(id, { ...worker, bornAtMs: bornAtMs ?? known });
    }
  }

  #removeWorker(id: string, hasEnded: boolean, lostBirth?: number): void {
    const birth = this.workers.get(id)?.bornAtMs;
    if (isLaterLife(lostBirth, birth)) {
      return;
    }
    this.workers.delete(id);
    if (hasEnded) {
      this.#endedWorkers.add(id, birth);
    }
    const load = this.#loads.get(id);
    for (const run of [...load?.runs.values() ?? []]) {
      this.#releaseRun(run);
    }
    this.#loads.delete(id);
  }

  /**
   * Records a crash of a worker, and fails the jobs of tasks that crash each worker. A long-running task is started again
   * however it ends.
   */
  #recordCrash(suspects: readonly CrashSuspect[], atMs: number): void {
    for (const suspect of suspects) {
      const run = this.findRun(suspect);
      const job = run && this.jobs.get(run.job);
      const tasks = run && this.tasksOf(run);
      const spec = run && this.stepOf(run);
      if (
        job?.outcome !== "open" || run === undefined || tasks === undefined
      ) {
        continue;
      }
      this.#snapshot?.preserve(job);
      const suspicion = addCrash(tasks.at(run.index)?.suspicion, suspect);
      tasks.setSuspicion(run.index, suspicion);
      if (spec?.lasting === false && isCrashLoop(suspicion)) {
        this.#failJob(job, {
          cause: "crashes",
          task: suspect.task,
          count: suspicion.crashes,
        }, atMs);
      }
    }
  }

  #clearSuspicion(key: RunKey): void {
    const run = this.findRun(key);
    const job = run && this.jobs.get(run.job);
    if (run !== undefined && job !== undefined) {
      this.#snapshot?.preserve(job);
      this.tasksOf(run)?.setSuspicion(run.index, undefined);
    }
  }

  #deleteEndedJobs(endedBeforeMs: number): void {
    for (const job of this.#endedJobs.removeOlder(endedBeforeMs)) {
      this.#snapshot?.preserve(job);
      this.jobs.delete(job.id);
      this.memory.add(job, -bytesOf(job));
    }
  }

  /** Changes tasks of a job, and accounts for their memory. */
  #change<T>(tasks: StepTasks, change: () => T): T {
    const before = tasks.bytes;
    const result = change();
    this.memory.addRuns(tasks.bytes - before);
    return result;
  }

  /** Accounts for the memory of a round that is added or removed. */
  #addRound(job: JobRecord, round: RoundRecord, by: 1 | -1): void {
    this.memory.add(job, by * round.tasks.length * ROUND_STEP_BYTES);
    this.memory.addRuns(by * runBytesOf(round));
  }

  #countUnstarted({ queue }: JobRecord, by: 1 | -1): void {
    this.#unstarted.set(queue, (this.#unstarted.get(queue) ?? 0) + by);
  }
}

/** Whether a run with a number may start a task. */
function isFree(tasks: StepTasks, index: number, run: number): boolean {
  const task = tasks.at(index);
  return task !== undefined && !task.isDone && task.worker === undefined &&
    run > task.run;
}

/** Estimated size of a job in memory without its rounds, in bytes. */
function bytesOf({ spec }: JobRecord): number {
  return spec === undefined ? ENDED_JOB_BYTES : specBytes(spec);
}
