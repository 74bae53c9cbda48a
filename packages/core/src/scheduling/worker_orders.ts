/**
 * Orders to one worker: which runs to start and stop, and what its answers and lists say about them.
 *
 * A start without an answer may be carried out seconds later. It is repeated under the same run number until the worker
 * answers; a run that is given up is stopped first, because a worker never starts a run that was stopped there.
 *
 * @module
 */
import type { RunEnding, RunKey } from "./command.ts";
import type { RunRecord } from "./job_record.ts";

/** Answer of a worker to a start. */
export type StartAnswer =
  | "started"
  /** The run, or a later one, has ended or was stopped there. */
  | "superseded"
  /** The lease deadline has passed on the worker's clock. */
  | "expired"
  | "no_room"
  | "no_permit"
  /** The order was malformed in the worker's eyes. */
  | "invalid"
  /** The worker is unhealthy and did nothing. */
  | "unwell"
  | "fenced"
  | "other_worker"
  | "no_answer";

/** A run that a worker lists as running. */
export interface ListedRun {
  task: string;
  run: number;
  checkpoint: string;
  /** How far it is, in percent; 100 for a task that lasts and is at work. */
  percent: number;
  /** Tail latency in milliseconds of a task that serves, else the processor use in thousandths of a core. */
  gauge: number;
}

/** A run that a worker lists as ended. */
export interface ListedEnd {
  /** Position in the worker's list of ends, from 1. */
  number: number;
  task: string;
  run: number;
  how: RunEnding;
  checkpoint: string;
}

/** What a worker lists about its runs. */
export interface Listing {
  running: ListedRun[];
  ended: ListedEnd[];
}

/** What follows from a listing. */
export interface Findings {
  /** Runs that surely never start any more. */
  dropped: RunKey[];
  /** Runs that the book does not know. */
  strays: { task: string; run: number }[];
}

type Phase =
  | { kind: "start_due"; at: number; inDoubt: boolean }
  | { kind: "starting"; inDoubt: boolean }
  | { kind: "running"; since: number }
  | { kind: "stop_due"; at: number }
  | { kind: "stopping" }
  | { kind: "stopped"; since: number };

interface Order {
  run: RunRecord;
  phase: Phase;
}

/** Pauses between two tries of an order, in milliseconds. */
export interface RetryPauses {
  /** After an order got no answer: about two round trips of a slowed link. */
  unansweredMs: number;
  /** Longest time that a worker takes to stop a run, from the platform's settings. */
  stopMs: number;
}

export class WorkerOrders {
  readonly #pauses: RetryPauses;
  readonly #orders = new Map<string, Order>();

  constructor(pauses: RetryPauses) {
    this.#pauses = pauses;
  }

  /** Takes over a placed run. Whether an earlier leader ordered it is unknown. */
  add(run: RunRecord, now: number, inDoubt = false): void {
    if (this.#orders.get(run.task)?.run.run !== run.run) {
      const phase: Phase = { kind: "start_due", at: now, inDoubt };
      this.#orders.set(run.task, { run, phase });
    }
  }

  /** Forgets runs that the book no longer holds on this worker. */
  retain(isHeld: (run: RunRecord) => boolean): void {
    for (const [task, { run }] of this.#orders) {
      if (!isHeld(run)) {
        this.#orders.delete(task);
      }
    }
  }

  /** Wants a run stopped, whether or not it was started. */
  withdraw(run: RunRecord, now: number): void {
    const order = this.#orders.get(run.task);
    if (order === undefined || order.run.run !== run.run) {
      this.#orders.set(run.task, { run, phase: { kind: "stop_due", at: now } });
    } else if (isStartPhase(order.phase)) {
      order.phase = { kind: "stop_due", at: now };
    }
  }

  /** Gives up starts that were not answered, for a worker that takes no more work. */
  withdrawStarts(now: number): void {
    for (const order of this.#orders.values()) {
      if (order.phase.kind === "start_due") {
        order.phase = { kind: "stop_due", at: now };
      }
    }
  }

  /** Takes the starts that are due. */
  takeStarts(now: number): RunRecord[] {
    const due: RunRecord[] = [];
    for (const order of this.#orders.values()) {
      if (order.phase.kind === "start_due" && order.phase.at <= now) {
        order.phase = { kind: "starting", inDoubt: order.phase.inDoubt };
        due.push(order.run);
      }
    }
    return due;
  }

  /** Takes the stops that are due. */
  takeStops(now: number): RunRecord[] {
    const due: RunRecord[] = [];
    for (const order of this.#orders.values()) {
      if (order.phase.kind === "stop_due" && order.phase.at <= now) {
        order.phase = { kind: "stopping" };
        due.push(order.run);
      }
    }
    return due;
  }

  /** Notes the answer to a start; returns the run if it surely does not run and never will. */
  noteStart(
    run: RunRecord,
    answer: StartAnswer,
    now: number,
  ): RunKey | undefined {
    const order = this.#orders.get(run.task);
    if (order?.run.run !== run.run || order.phase.kind !== "starting") {
      return undefined;
    }
    const { inDoubt } = order.phase;
    switch (answer) {
      case "started":
        order.phase = { kind: "running", since: now };
        return undefined;
      case "no_answer":
      case "expired":
        order.phase = {
          kind: "start_due",
          at: now + this.#pauses.unansweredMs,
          inDoubt: inDoubt || answer === "no_answer",
        };
        return undefined;
      case "superseded":
        // Its end is listed, or it was stopped before it came.
        order.phase = { kind: "stopped", since: now };
        return undefined;
      case "other_worker":
      case "fenced":
        return undefined;
      default:
        if (inDoubt) {
          order.phase = { kind: "stop_due", at: now };
          return undefined;
        }
        this.#orders.delete(run.task);
        return keyOf(run);
    }
  }

  /** Notes whether a stop was answered. */
  noteStop(run: RunRecord, isAnswered: boolean, now: number): void {
    const order = this.#orders.get(run.task);
    if (order?.run.run !== run.run || order.phase.kind !== "stopping") {
      return;
    }
    order.phase = isAnswered
      ? { kind: "stopped", since: now }
      : { kind: "stop_due", at: now + this.#pauses.unansweredMs };
  }

  /** Compares a listing, asked for at a given time, with the orders. */
  noteListing(listing: Listing, askedAt: number, now: number): Findings {
    const running = new Map(listing.running.map((row) => [row.task, row.run]));
    const ended = new Set(
      listing.ended.map(({ task, run }) => `${task} ${run}`),
    );
    const dropped: RunKey[] = [];
    for (const [task, order] of this.#orders) {
      const isListed = running.get(task) === order.run.run ||
        ended.has(`${task} ${order.run.run}`);
      if (this.#noteListed(order, isListed, askedAt, now)) {
        this.#orders.delete(task);
        dropped.push(keyOf(order.run));
      }
    }
    const strays = listing.running.filter(({ task, run }) =>
      this.#orders.get(task)?.run.run !== run
    );
    return { dropped, strays };
  }

  /** Whether the run of an order surely never starts any more. */
  #noteListed(
    order: Order,
    isListed: boolean,
    askedAt: number,
    now: number,
  ): boolean {
    const { phase } = order;
    if (isListed) {
      if (phase.kind === "start_due") {
        order.phase = { kind: "running", since: now };
      } else if (
        phase.kind === "stopped" &&
        askedAt > phase.since + 2 * this.#pauses.stopMs
      ) {
        order.phase = { kind: "stop_due", at: now };
      }
      return false;
    }
    if (phase.kind === "running" && askedAt > phase.since) {
      order.phase = { kind: "stop_due", at: now };
    }
    return phase.kind === "stopped" &&
      askedAt > phase.since + this.#pauses.stopMs;
  }
}

function isStartPhase({ kind }: Phase): boolean {
  return kind === "start_due" || kind === "starting" || kind === "running";
}

function keyOf({ task, run, worker }: RunRecord): RunKey {
  return { task, run, worker };
}
