/**
 * Start and stop orders to one worker, reconciled with its answers and listings.
 *
 * A start without an answer may still be executed seconds later. It is retried under the same run number until the
 * worker answers. A run is abandoned only after a stop, because a worker never starts a run that it was told to stop.
 *
 * @module
 */
import type { RunKey } from "../model/command.ts";
import type { RunRecord } from "../model/job_record.ts";
import { runName } from "../model/task_name.ts";
import { isComplete, type Listing } from "./listing.ts";

/** Answer of a worker to a start order. */
export type StartAnswer =
  | "started"
  /** This run or a later one of the task has ended or was stopped on the worker. */
  | "superseded"
  /** The lease deadline has passed on the worker's clock. */
  | "expired"
  | "no_room"
  | "no_permit"
  /** The worker rejects the order as malformed. */
  | "invalid"
  /** The worker is unhealthy and did not execute the order. */
  | "unwell"
  | "fenced"
  | "other_worker"
  | "no_answer";

/** Result of comparing a listing with the orders. */
export interface Reconciliation {
  /** Runs that are known never to start any more. */
  dropped: RunKey[];
  /** Listed runs without an order. */
  strays: { task: string; run: number }[];
  /** Number of runs of which the listing tells nothing, since it is incomplete. */
  undecided: number;
}

/** `inDoubt`: an earlier start of this run got no answer and may still be executed. */
type Phase =
  | { kind: "start_due"; at: number; inDoubt: boolean }
  | { kind: "starting"; inDoubt: boolean; sentAt: number }
  | { kind: "running"; since: number }
  | { kind: "stop_due"; at: number }
  | { kind: "stopping"; sentAt: number }
  | { kind: "stopped"; since: number };

interface Order {
  run: RunRecord;
  phase: Phase;
  /** Time before which a listing does not prove that the run never starts. */
  undecidedUntil: number;
}

/** Delays that govern the retry of orders, in milliseconds. */
export interface RetryDelays {
  /** Shortest interval of an order that gets no answer; about two round trips on a slow link. */
  unansweredMs: number;
  /**
   * Whether a worker gets no new runs while it leaves orders unanswered. An unanswered order is then repeated sooner: its
   * delay counts from its sending.
   */
  pausesUnanswered: boolean;
  /** Longest time that a worker takes to stop a run; from the platform. */
  stopMs: number;
}

export class WorkerOrders {
  readonly #delays: RetryDelays;
  readonly #orders = new Map<string, Order>();
  /** Orders that are to be sent, now or later: those whose phase is `start_due` or `stop_due`. */
  readonly #unsent = new Set<Order>();
  /** Orders whose latest sending got no answer, and of which no listing has told since that they were carried out. */
  readonly #unanswered = new Set<Order>();
  /** Orders of which it is not known whether their run runs: starts in doubt, and stops. */
  readonly #undecided = new Set<Order>();

  constructor(delays: RetryDelays) {
    this.#delays = delays;
  }

  /** Whether any order is to be sent, now or later. */
  get hasUnsent(): boolean {
    return this.#unsent.size > 0;
  }

  /** Whether the worker leaves orders unanswered, which it may carry out much later, and gets no new runs meanwhile. */
  get isPaused(): boolean {
    return this.#delays.pausesUnanswered && this.#unanswered.size > 0;
  }

  /** Whether the pause may end once a listing tells of some run whether it runs. */
  get awaitsListing(): boolean {
    return this.#delays.pausesUnanswered && this.#undecided.size > 0;
  }

  /** Whether the start of a run was certainly not sent. */
  isUnsent({ task, run }: RunRecord): boolean {
    const order = this.#orders.get(task);
    return order?.run.run === run && order.phase.kind === "start_due" &&
      !order.phase.inDoubt;
  }

  /** Whether a run was or will be ordered to stop. */
  isStopping({ task, run }: RunRecord): boolean {
    const order = this.#orders.get(task);
    return order?.run.run === run && !isActivePhase(order.phase);
  }

  /**
   * Adds a placed run to be started; `inDoubt` if an earlier leader may already have ordered its start. The run is not
   * dropped before `undecidedUntil`, while a start that was sent to an earlier life of the worker may be carried out.
   */
  add(
    run: RunRecord,
    now: number,
    inDoubt = false,
    undecidedUntil = -Infinity,
  ): void {
    if (this.#orders.get(run.task)?.run.run !== run.run) {
      this.#add(run, { kind: "start_due", at: now, inDoubt }, undecidedUntil);
    }
  }

  /** Removes the orders of runs that the job store no longer holds on this worker. */
  retain(isHeld: (run: RunRecord) => boolean): void {
    for (const { run } of this.#orders.values()) {
      if (!isHeld(run)) {
        this.#remove(run.task);
      }
    }
  }

  /** Requests the stop of a run, whether or not it was started. */
  requestStop(run: RunRecord, now: number): void {
    const order = this.#orders.get(run.task);
    if (order === undefined || order.run.run !== run.run) {
      this.#add(run, { kind: "stop_due", at: now });
    } else if (isActivePhase(order.phase)) {
      this.#setPhase(order, { kind: "stop_due", at: now });
    }
  }

  /** Replaces starts that wait for their next attempt by stops, for a worker that gets no more work. */
  stopPendingStarts(now: number): void {
    for (const order of this.#unsent) {
      if (order.phase.kind === "start_due") {
        this.#setPhase(order, { kind: "stop_due", at: now });
      }
    }
  }

  /** Removes the starts that were certainly not sent, and returns their runs, which never start. */
  takeUnsent(): RunKey[] {
    const unsent = [...this.#unsent].filter(({ phase }) =>
      phase.kind === "start_due" && !phase.inDoubt
    );
    unsent.forEach(({ run }) => this.#remove(run.task));
    return unsent.map(({ run }) => keyOf(run));
  }

  /** Returns the runs whose start is due, up to the first that may not be sent now, and marks them as being started. */
  takeStarts(
    now: number,
    maySend: (run: RunRecord) => boolean = () => true,
  ): RunRecord[] {
    const due: RunRecord[] = [];
    for (const order of this.#unsent) {
      const { phase } = order;
      if (phase.kind === "start_due" && phase.at <= now) {
        if (!maySend(order.run)) {
          break;
        }
        const { inDoubt } = phase;
        this.#setPhase(order, { kind: "starting", inDoubt, sentAt: now });
        due.push(order.run);
      }
    }
    return due;
  }

  /** Returns the runs whose stop is due and marks them as being stopped. */
  takeStops(now: number): RunRecord[] {
    const due: RunRecord[] = [];
    for (const order of this.#unsent) {
      if (order.phase.kind === "stop_due" && order.phase.at <= now) {
        this.#setPhase(order, { kind: "stopping", sentAt: now });
        due.push(order.run);
      }
    }
    return due;
  }

  /** Records the answer to a start; returns the run if it is known not to run and never to start. */
  recordStartAnswer(
    run: RunRecord,
    answer: StartAnswer,
    now: number,
  ): RunKey | undefined {
    const order = this.#orders.get(run.task);
    if (order?.run.run !== run.run || order.phase.kind !== "starting") {
      return undefined;
    }
    const { inDoubt, sentAt } = order.phase;
    this.#setAnswered(order, answer !== "no_answer");
    switch (answer) {
      case "started":
        this.#setPhase(order, { kind: "running", since: now });
        return undefined;
      case "no_answer":
        this.#setPhase(order, {
          kind: "start_due",
          at: this.#repeatAt(sentAt, now),
          inDoubt: true,
        });
        return undefined;
      case "expired":
        this.#setPhase(order, {
          kind: "start_due",
          at: now + this.#delays.unansweredMs,
          inDoubt,
        });
        return undefined;
      case "superseded":
        // Its end is listed, or the stop reached the worker before the start.
        this.#setPhase(order, { kind: "stopped", since: now });
        return undefined;
      case "other_worker":
      case "fenced":
        return undefined;
      default:
        if (inDoubt) {
          this.#setPhase(order, { kind: "stop_due", at: now });
          return undefined;
        }
        this.#remove(run.task);
        return keyOf(run);
    }
  }

  /** Records whether a stop was answered. */
  recordStopAnswer(run: RunRecord, isAnswered: boolean, now: number): void {
    const order = this.#orders.get(run.task);
    if (order?.run.run !== run.run || order.phase.kind !== "stopping") {
      return;
    }
    const { sentAt } = order.phase;
    this.#setAnswered(order, isAnswered);
    this.#setPhase(
      order,
      isAnswered
        ? { kind: "stopped", since: now }
        : { kind: "stop_due", at: this.#repeatAt(sentAt, now) },
    );
  }

  /** When an order that was sent at a time and got no answer is repeated. */
  #repeatAt(sentAt: number, now: number): number {
    const { pausesUnanswered, unansweredMs } = this.#delays;
    return pausesUnanswered
      ? Math.max(now, sentAt + unansweredMs)
      : now + unansweredMs;
  }

  #setAnswered(order: Order, isAnswered: boolean): void {
    if (isAnswered) {
      this.#unanswered.delete(order);
    } else {
      this.#unanswered.add(order);
    }
  }

  /**
   * Reconciles the orders with a listing that was requested at `requestedAt`. An incomplete one proves nothing about the
   * runs that it does not contain.
   */
  reconcile(
    listing: Listing,
    requestedAt: number,
    now: number,
  ): Reconciliation {
    const running = new Map(listing.running.map((row) => [row.task, row.run]));
    const ended = new Set(listing.ended.map(runName));
    const provesAbsence = isComplete(listing);
    const dropped: RunKey[] = [];
    let undecided = 0;
    for (const [task, order] of this.#orders) {
      const isListed = running.get(task) === order.run.run ||
        (ended.size > 0 && ended.has(runName(order.run)));
      if (!isListed && !provesAbsence) {
        undecided += 1;
        continue;
      }
      if (this.#reconcileOrder(order, isListed, requestedAt, now)) {
        this.#remove(task);
        dropped.push(keyOf(order.run));
      }
    }
    const strays = listing.running.filter(({ task, run }) =>
      this.#orders.get(task)?.run.run !== run
    );
    return { dropped, strays, undecided };
  }

  #add(run: RunRecord, phase: Phase, undecidedUntil = -Infinity): void {
    this.#remove(run.task);
    const order = { run, phase, undecidedUntil };
    this.#orders.set(run.task, order);
    this.#setPhase(order, phase);
  }

  #remove(task: string): void {
    const order = this.#orders.get(task);
    if (order !== undefined) {
      this.#orders.delete(task);
      this.#unsent.delete(order);
      this.#unanswered.delete(order);
      this.#undecided.delete(order);
    }
  }

  #setPhase(order: Order, phase: Phase): void {
    order.phase = phase;
    if (phase.kind === "start_due" || phase.kind === "stop_due") {
      this.#unsent.add(order);
    } else {
      this.#unsent.delete(order);
    }
    if (isUndecidedPhase(phase)) {
      this.#undecided.add(order);
    } else {
      this.#undecided.delete(order);
    }
  }

  /** Updates one order; returns whether its run is known never to start any more. */
  #reconcileOrder(
    order: Order,
    isListed: boolean,
    requestedAt: number,
    now: number,
  ): boolean {
    const { phase } = order;
    if (isListed) {
      if (phase.kind === "start_due") {
        this.#unanswered.delete(order);
        this.#setPhase(order, { kind: "running", since: now });
      } else if (
        phase.kind === "stopped" &&
        requestedAt > phase.since + 2 * this.#delays.stopMs
      ) {
        this.#setPhase(order, { kind: "stop_due", at: now });
      }
      return false;
    }
    if (phase.kind === "running" && requestedAt > phase.since) {
      this.#setPhase(order, { kind: "stop_due", at: now });
    }
    return phase.kind === "stopped" &&
      requestedAt > phase.since + this.#delays.stopMs &&
      requestedAt > order.undecidedUntil;
  }
}

function isUndecidedPhase(phase: Phase): boolean {
  switch (phase.kind) {
    case "start_due":
    case "starting":
      return phase.inDoubt;
    case "running":
      return false;
    default:
      return true;
  }
}

function isActivePhase({ kind }: Phase): boolean {
  return kind === "start_due" || kind === "starting" || kind === "running";
}

function keyOf({ task, run, worker }: RunRecord): RunKey {
  return { task, run, worker };
}
