/**
 * Which worker runs which task.
 *
 * Answers the pattern of many small steps that share a pool: tasks are packed on the fullest worker that has room, so
 * that wide steps still find empty workers and idle ones can leave the pool. A worker that fails all that it starts has
 * always room, so for a while a task is not tried again where it failed.
 *
 * @module
 */
import { reservation, type Resources, type StepSpec } from "./batch_job.ts";
import type { RunKey, Worker } from "./command.ts";
import type { TaskRecord, WaitingStep } from "./job_record.ts";
import { taskName } from "./task_name.ts";
import type { WorkerLoad } from "./worker_load.ts";

/** Time in which a task waits for another worker than that on which it failed, in milliseconds: one or two tasks there. */
const ELSEWHERE_MS = 1_500;

/** A worker that may take tasks, and what is left of it during one pass. */
export class Room {
  readonly worker: Worker;
  readonly free: Resources;
  readonly #load: WorkerLoad;
  readonly #planned = new Map<string, number>();
  #serving: number;
  #filling: number;

  /** A worker that is due to go should not get tasks that last. */
  constructor(
    worker: Worker,
    load: WorkerLoad,
    readonly isDue = false,
  ) {
    const { capacity } = worker;
    const { reserved } = load;
    this.worker = worker;
    this.#load = load;
    this.#serving = load.serving;
    this.#filling = load.filling;
    this.free = {
      cpuMilli: capacity.cpuMilli - reserved.cpuMilli,
      memoryMb: capacity.memoryMb - reserved.memoryMb,
      gpus: capacity.gpus - reserved.gpus,
    };
  }

  /** Whether a task of a step may run here. */
  accepts(step: WaitingStep): boolean {
    const { spec, name } = step;
    return fits(spec, this.free) &&
      hasLabel(this.worker, spec.requiredLabel) &&
      (spec.maxPerWorker === 0 || this.#ofStep(name) < spec.maxPerWorker);
  }

  /** Whether a task of a step could run here if nothing else did. */
  couldAccept({ spec }: WaitingStep): boolean {
    const { capacity } = this.worker;
    return fits(spec, capacity) && hasLabel(this.worker, spec.requiredLabel);
  }

  /** Whether a task that fills would run beside one that serves, and slow it down. */
  wouldDisturb({ fills, targetLatencyMs }: StepSpec): boolean {
    return fills ? this.#serving > 0 : targetLatencyMs > 0 && this.#filling > 0;
  }

  /** Takes room for a task of a step. */
  take({ spec, name }: WaitingStep): void {
    const { cpuMilli, memoryMb, gpus } = reservation(spec);
    this.free.cpuMilli -= cpuMilli;
    this.free.memoryMb -= memoryMb;
    this.free.gpus -= gpus;
    this.#planned.set(name, (this.#planned.get(name) ?? 0) + 1);
    this.#serving += spec.targetLatencyMs > 0 ? 1 : 0;
    this.#filling += spec.fills ? 1 : 0;
  }

  #ofStep(name: string): number {
    return this.#load.ofStep(name) + (this.#planned.get(name) ?? 0);
  }
}

/** Smallest demands that found no room in one pass, so that a long queue is not tried against full workers. */
export class FullRooms {
  readonly #smallest = new Map<string, Resources>();

  /** Notes a step of which tasks found no room, if room was all that they lacked. */
  note(step: WaitingStep): void {
    const { spec, job, indices } = step;
    const isPlain = !spec.gang && !spec.sameRack && spec.maxPerWorker === 0 &&
      !job.terms.advised &&
      [...indices].every((index) =>
        taskOf(step, index)?.lastFailure === undefined
      );
    if (isPlain) {
      this.#smallest.set(keyOf(step), reservation(spec));
    }
  }

  /** Whether a step needs at least as much as one that found no room. */
  covers(step: WaitingStep): boolean {
    const smallest = this.#smallest.get(keyOf(step));
    const { cpuMilli, memoryMb, gpus } = reservation(step.spec);
    return smallest !== undefined && cpuMilli >= smallest.cpuMilli &&
      memoryMb >= smallest.memoryMb && gpus >= smallest.gpus;
  }
}

function keyOf({ job, spec }: WaitingStep): string {
  return `${job.pool} ${spec.requiredLabel}`;
}

/**
 * Chooses workers for as many tasks of a step as fit; all or none for a gang. `wallNow` is the wall clock in
 * milliseconds.
 */
export function placeStep(
  step: WaitingStep,
  rooms: readonly Room[],
  wallNow: number,
): RunKey[] {
  const indices = [...step.indices];
  if (!step.spec.gang && !step.spec.sameRack) {
    return placeTasks(step, indices, rooms, wallNow);
  }
  if (step.spec.gang && indices.length < step.spec.taskCount) {
    // Members of the last run have not all ended.
    return [];
  }
  return placeTogether(step, indices, rooms, wallNow);
}

function placeTasks(
  step: WaitingStep,
  indices: readonly number[],
  rooms: readonly Room[],
  wallNow: number,
): RunKey[] {
  const placed: RunKey[] = [];
  for (const index of indices) {
    const task = taskOf(step, index);
    const candidates = withoutFailed(step, task, rooms, wallNow);
    const room = chooseRoom(step, candidates);
    if (room === undefined && candidates === rooms) {
      break;
    }
    if (room === undefined) {
      continue;
    }
    room.take(step);
    placed.push(runKey(step, index, room.worker.id));
  }
  return placed;
}

/** Rooms other than that of the worker on which a task failed a short while ago, if another one could ever take it. */
function withoutFailed(
  step: WaitingStep,
  task: TaskRecord | undefined,
  rooms: readonly Room[],
  wallNow: number,
): readonly Room[] {
  const failure = task?.lastFailure;
  const agoMs = wallNow - (failure?.atMs ?? -Infinity);
  // A failure in the future was noted before the wall clock was set back.
  if (failure === undefined || agoMs < 0 || agoMs >= ELSEWHERE_MS) {
    return rooms;
  }
  const others = rooms.filter(({ worker }) => worker.id !== failure.worker);
  return others.some((room) => room.couldAccept(step)) ? others : rooms;
}

/** Places all tasks or none, on one rack if that is possible. */
function placeTogether(
  step: WaitingStep,
  indices: readonly number[],
  rooms: readonly Room[],
  wallNow: number,
): RunKey[] {
  const racks = new Map<string, Room[]>();
  for (const room of rooms) {
    const rack = rackOf(room.worker);
    racks.set(rack, [...racks.get(rack) ?? [], room]);
  }
  const groups = [...racks.values()].sort((a, b) => freeCpu(b) - freeCpu(a));
  for (const group of [...groups, rooms]) {
    const chosen = tryAll(step, indices, group);
    if (chosen !== undefined) {
      chosen.forEach((room) => room.take(step));
      const run = step.spec.gang ? nextGangRun(step) : undefined;
      return chosen.map((room, i) => {
        const key = runKey(step, indices[i] ?? 0, room.worker.id);
        return run === undefined ? key : { ...key, run };
      });
    }
  }
  return step.spec.gang ? [] : placeTasks(step, indices, rooms, wallNow);
}

/** Rooms for all tasks, without taking them; undefined if they do not all fit. */
function tryAll(
  { spec, name }: WaitingStep,
  indices: readonly number[],
  rooms: readonly Room[],
): Room[] | undefined {
  const step = { spec, name } as WaitingStep;
  const { cpuMilli, memoryMb, gpus } = reservation(spec);
  const chosen: Room[] = [];
  for (const room of rooms) {
    if (!room.accepts(step)) {
      continue;
    }
    const fits = Math.min(
      share(room.free.cpuMilli, cpuMilli),
      share(room.free.memoryMb, memoryMb),
      share(room.free.gpus, gpus),
      spec.maxPerWorker === 0 ? Infinity : spec.maxPerWorker,
      indices.length - chosen.length,
    );
    for (let i = 0; i < fits; i++) {
      chosen.push(room);
    }
  }
  return chosen.length === indices.length ? chosen : undefined;
}

function share(free: number, each: number): number {
  return each === 0 ? Infinity : Math.floor(free / each);
}

/**
 * The worker with the least processor time left, of those where the task disturbs nothing, where it may stay if it
 * lasts, and that are near its data, in this order.
 */
function chooseRoom(
  step: WaitingStep,
  rooms: readonly Room[],
): Room | undefined {
  const { dataRack, lasting } = step.spec;
  let best: Room | undefined;
  let bestRank = 0;
  for (const room of rooms) {
    if (!room.accepts(step)) {
      continue;
    }
    const isFar = dataRack !== "" && !room.worker.labels.includes(dataRack);
    const rank = 4 * Number(room.wouldDisturb(step.spec)) +
      2 * Number(lasting && room.isDue) + Number(isFar);
    const isBetter = best === undefined || rank < bestRank ||
      (rank === bestRank && room.free.cpuMilli < best.free.cpuMilli);
    if (isBetter) {
      best = room;
      bestRank = rank;
    }
  }
  return best;
}

function runKey(
  waiting: WaitingStep,
  index: number,
  worker: string,
): RunKey {
  const { job, round, step } = waiting;
  return {
    task: taskName({ job: job.id, round, step, index }),
    run: (taskOf(waiting, index)?.run ?? 0) + 1,
    worker,
  };
}

function taskOf(
  { job, round, step }: WaitingStep,
  index: number,
): TaskRecord | undefined {
  return job.rounds[round]?.tasks[step]?.[index];
}

function fits(spec: StepSpec, room: Resources): boolean {
  const { cpuMilli, memoryMb, gpus } = reservation(spec);
  return room.cpuMilli >= cpuMilli && room.memoryMb >= memoryMb &&
    room.gpus >= gpus;
}

/** All members of a gang run under one number. */
function nextGangRun({ job, round, step }: WaitingStep): number {
  const tasks = job.rounds[round]?.tasks[step] ?? [];
  return 1 + Math.max(0, ...tasks.map(({ run }) => run));
}

function freeCpu(rooms: readonly Room[]): number {
  return rooms.reduce((total, { free }) => total + free.cpuMilli, 0);
}

function hasLabel({ labels }: Worker, required: string): boolean {
  return required === "" || labels.includes(required);
}

/** Labels are the kind of a VM, then its rack. */
function rackOf({ labels }: Worker): string {
  return labels[1] ?? "";
}
