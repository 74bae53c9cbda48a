/**
 * One term of a leader: sessions with all workers, and passes that place waiting tasks.
 *
 * @module
 */
import {
  ArrivalRates,
  FullRooms,
  inOrderOfUrgency,
  type JobBook,
  placeStep,
  poolDemands,
  Room,
  type RunKey,
  type RunRecord,
  type SubmittedJob,
  type WaitingStep,
  type Worker,
  WorkerHealth,
  WorkEstimate,
} from "@quetzalcove/core/scheduling";
import { type Component, ticker } from "../lifecycle.ts";
import { FleetTask } from "./fleet_task.ts";
import { AdviceDesk } from "./advice_desk.ts";
import type { AdviceCalls, FleetCalls } from "./ports.ts";
import { Settlements } from "./settlements.ts";
import type { TenureStatus } from "./status.ts";
import { type SessionParts, WorkerSession } from "./worker_session.ts";

/** What a tenure needs. */
export interface TenureParts extends
  Omit<
    SessionParts,
    "onChange" | "onLost" | "estimate" | "health" | "permit" | "settlements"
  > {
  retentionMs: number;
  /** Calls at the platform's list of VMs; undefined where there is none. */
  fleetCalls: FleetCalls | undefined;
  /** Calls at the advisor; undefined where there is none. */
  adviceCalls: AdviceCalls | undefined;
  /** Name under which this node orders. */
  holder: string;
}

/** Interval of passes that nothing else asked for, in milliseconds: bounds the delay of a repeated order. */
const IDLE_PASS_MS = 100;

/** Pause after a pass, as a multiple of its duration: deciding takes at most a third of the processor. */
const PASS_PAUSE_FACTOR = 2;

/** Interval at which outcomes of old jobs are dropped, in milliseconds. */
const FORGET_MS = 10_000;

export class Tenure implements Component {
  readonly name = "tenure";
  readonly #parts: TenureParts;
  readonly #sessions = new Map<string, WorkerSession>();
  readonly #passes: Component;
  readonly #rates = new ArrivalRates();
  readonly #estimate = new WorkEstimate();
  readonly #health = new WorkerHealth();
  readonly #settlements: Settlements;
  readonly #fleet: FleetTask | undefined;
  readonly #advice: AdviceDesk | undefined;
  #passDue = false;
  #isPlacing = false;
  /** Workers whose loss is not committed yet; the book still holds them. */
  readonly #losing = new Set<string>();
  /** Workers of placements that are not committed yet. */
  #placing = new Set<string>();
  #stopped = false;
  #forgotAt: number;
  #nextPassAt = -Infinity;

  constructor(parts: TenureParts) {
    this.#parts = parts;
    this.#settlements = new Settlements(parts);
    this.#forgotAt = parts.clock.monotonic();
    this.#passes = ticker("passes", IDLE_PASS_MS, () => this.#pass());
    this.#fleet = parts.fleetCalls && new FleetTask({
      ...parts,
      calls: parts.fleetCalls,
      rates: this.#rates,
      estimate: this.#estimate,
      session: (worker) => this.#sessions.get(worker),
      isBeingPlaced: (worker) => this.#placing.has(worker),
      lose: (worker, reason) => this.#lose(worker, reason, true),
      onChange: () => this.wake(),
    });
    this.#advice = parts.adviceCalls && new AdviceDesk({
      ...parts,
      calls: parts.adviceCalls,
      onChange: () => this.wake(),
    });
  }

  get #book(): JobBook {
    return this.#parts.consensus.state;
  }

  start(): Promise<void> {
    const { log, term } = this.#parts;
    log.info("tenure.started", { term, workers: this.#book.workers.size });
    this.#followWorkers();
    return this.#passes.start();
  }

  async stop(): Promise<void> {
    this.#stopped = true;
    this.#fleet?.stop();
    this.#sessions.forEach((session) => session.stop());
    this.#sessions.clear();
    await this.#passes.stop();
    this.#parts.log.info("tenure.ended", { term: this.#parts.term });
  }

  /** What the leader knows now, for operators. */
  describe(): TenureStatus {
    const now = this.#parts.clock.monotonic();
    const demands = poolDemands(
      this.#book,
      this.#rates,
      this.#estimate,
      now,
    );
    return {
      term: this.#parts.term,
      pools: [...demands].map(([name, { reserved, waiting, wanted }]) => {
        const sessions = [...this.#sessions.values()].filter(({ worker }) =>
          worker.pool === name
        );
        return {
          name,
          workers: sessions.length,
          usable: sessions.filter((session) => session.isUsable(now)).length,
          reservedCores: Math.round(reserved),
          waitingCores: Math.round(waiting),
          wantedCores: Math.round(wanted),
        };
      }),
    };
  }

  /** Runs a pass soon: in the next turn of the event loop, or after the pause that the last one calls for. */
  wake(): void {
    if (this.#passDue || this.#stopped) {
      return;
    }
    this.#passDue = true;
    const pass = (): void => {
      this.#passDue = false;
      this.#pass();
    };
    const pauseMs = this.#nextPassAt - this.#parts.clock.monotonic();
    if (pauseMs > 0) {
      setTimeout(pass, pauseMs);
    } else {
      setImmediate(pass);
    }
  }

  /** Notes a job that was accepted. */
  noteArrival(job: SubmittedJob): void {
    const record = this.#book.jobs.get(job.id);
    if (record !== undefined) {
      const now = this.#parts.clock.monotonic();
      const coreMs = this.#estimate.workOf(record);
      if (coreMs > 0) {
        this.#rates.note(job.pool, coreMs, now);
        this.#fleet?.noteArrival(now);
      }
    }
  }

  /** Workers that may get work, by pool; those that fail or hang only where there is no other. */
  #usableWorkers(now: number): Map<string, Worker[]> {
    const pools = new Map<string, Worker[]>();
    const doubtful: Worker[] = [];
    for (const session of this.#sessions.values()) {
      const { worker } = session;
      if (!session.isUsable(now) || this.#fleet?.isReserved(worker) === true) {
        continue;
      }
      if (this.#health.isTrusted(worker.id, now)) {
        pools.set(worker.pool, [...pools.get(worker.pool) ?? [], worker]);
      } else {
        doubtful.push(worker);
      }
    }
    for (const worker of doubtful) {
      if (!pools.has(worker.pool)) {
        pools.set(worker.pool, [worker]);
      }
    }
    return pools;
  }

  #pass(): void {
    if (this.#stopped || !this.#parts.hasAuthority()) {
      return;
    }
    const now = this.#parts.clock.monotonic();
    this.#followWorkers();
    this.#withdrawUnwanted();
    this.#openRounds();
    this.#forgetOldJobs(now);
    this.#logEndedJobs();
    this.#fleet?.step(now);
    this.#sessions.forEach((session) => session.sendDue());
    void this.#place(now);
    const end = this.#parts.clock.monotonic();
    this.#nextPassAt = end + PASS_PAUSE_FACTOR * (end - now);
  }

  /** Opens a session with each worker of the book, and follows what changed about it. */
  #followWorkers(): void {
    const { workers } = this.#book;
    for (const [id, session] of this.#sessions) {
      const worker = workers.get(id);
      if (worker === undefined) {
        session.stop();
        this.#sessions.delete(id);
      } else {
        session.worker = worker;
      }
    }
    for (const worker of workers.values()) {
      if (!this.#sessions.has(worker.id) && !this.#losing.has(worker.id)) {
        this.#open(worker);
      }
    }
  }

  #open(worker: Worker): void {
    const session = new WorkerSession(worker, {
      ...this.#parts,
      settlements: this.#settlements,
      estimate: this.#estimate,
      health: this.#health,
      permit: (step, id) =>
        this.#advice?.permit(step, id, this.#parts.clock.monotonic()),
      onChange: () => this.wake(),
      onLost: (id, reason, hasEnded) => void this.#lose(id, reason, hasEnded),
    });
    this.#sessions.set(worker.id, session);
    void session.run();
  }

  async #lose(id: string, reason: string, hasEnded: boolean): Promise<void> {
    const { log, consensus, clock } = this.#parts;
    const runs = this.#book.load(id).runs.size;
    this.#sessions.get(id)?.stop();
    this.#sessions.delete(id);
    this.#health.forget(id);
    log.warn("worker.lost", { worker: id, reason, runs, ended: hasEnded });
    this.#losing.add(id);
    await consensus.propose({
      kind: "lose",
      workers: [id],
      haveEnded: hasEnded,
      atMs: clock.wall(),
    });
    this.#losing.delete(id);
    this.wake();
  }

  #withdrawUnwanted(): void {
    for (const run of this.#book.unwanted) {
      this.#sessions.get(run.worker)?.withdraw(run);
    }
  }

  #openRounds(): void {
    const { consensus, clock } = this.#parts;
    const wall = clock.wall();
    const rounds: { job: string; round: number }[] = [];
    for (const job of this.#book.repeated) {
      const repeat = job.spec?.repeat;
      if (
        repeat !== undefined && job.opened < repeat.count &&
        wall >= repeat.startAtMs + job.opened * repeat.intervalMs
      ) {
        rounds.push({ job: job.id, round: job.opened });
      }
    }
    if (rounds.length > 0) {
      void consensus.propose({ kind: "open", rounds }).then(() => this.wake());
    }
  }

  #logEndedJobs(): void {
    for (const job of this.#book.justEnded.splice(0)) {
      this.#parts.log.info("job.ended", {
        job: job.id,
        queue: job.queue,
        outcome: job.outcome,
        tookMs: Math.round((job.endedAtMs ?? 0) - job.acceptedAtMs),
        runsLeft: job.activeRuns,
      });
    }
  }

  #forgetOldJobs(now: number): void {
    const { consensus, clock, retentionMs } = this.#parts;
    if (now - this.#forgotAt >= FORGET_MS) {
      this.#forgotAt = now;
      const endedBeforeMs = clock.wall() - retentionMs;
      void consensus.propose({ kind: "forget", endedBeforeMs });
    }
  }

  /** Reserves room for waiting tasks in the log, then orders their runs. */
  async #place(now: number): Promise<void> {
    if (this.#isPlacing || this.#book.waiting.size === 0) {
      return;
    }
    const runs = this.#choosePlaces(now);
    if (runs.length === 0) {
      return;
    }
    this.#isPlacing = true;
    this.#placing = new Set(runs.map(({ worker }) => worker));
    const placed = await this.#parts.consensus.propose({ kind: "place", runs });
    this.#isPlacing = false;
    this.#placing.clear();
    if (placed.ok && !this.#stopped) {
      this.#order(runs);
      this.wake();
    }
  }

  #choosePlaces(now: number): RunKey[] {
    const rooms = new Map<string, Room[]>();
    for (const [pool, workers] of this.#usableWorkers(now)) {
      rooms.set(pool, workers.map((worker) => this.#roomOf(worker)));
    }
    const inOrder = inOrderOfUrgency(
      this.#book.waiting.values(),
      this.#estimate,
      this.#parts.clock.wall(),
    );
    const full = new FullRooms();
    const runs = inOrder.flatMap((step) =>
      full.covers(step)
        ? []
        : this.#placeStep(step, this.#roomsFor(step, rooms, now), full)
    );
    this.#advice?.follow(
      inOrder,
      (step) =>
        (rooms.get(step.job.pool) ?? [])
          .filter((room) => room.accepts(step))
          .map(({ worker }) => worker),
      (name) => this.#book.waiting.has(name),
      now,
    );
    return runs;
  }

  /** Rooms of the step's pool; of an advised queue only those with a permit. */
  #roomsFor(
    { name, job }: WaitingStep,
    rooms: ReadonlyMap<string, Room[]>,
    now: number,
  ): Room[] {
    const own = rooms.get(job.pool) ?? [];
    return job.terms.advised
      ? own.filter(({ worker }) =>
        this.#advice?.permit(name, worker.id, now) !== undefined
      )
      : own;
  }

  #placeStep(
    step: WaitingStep,
    rooms: readonly Room[],
    full: FullRooms,
  ): RunKey[] {
    const placed = placeStep(step, rooms, this.#parts.clock.wall());
    if (placed.length < step.indices.size) {
      full.note(step);
    }
    if (placed.length > 0) {
      this.#parts.log.info("step.placed", {
        step: step.name,
        tasks: placed.length,
        waiting: step.indices.size - placed.length,
        workers: new Set(placed.map(({ worker }) => worker)).size,
      });
    }
    return placed;
  }

  #roomOf(worker: Worker): Room {
    const isDue = this.#fleet?.isDue(worker) === true;
    return new Room(worker, this.#book.load(worker.id), isDue);
  }

  #order(runs: readonly RunKey[]): void {
    const byWorker = new Map<string, RunRecord[]>();
    for (const key of runs) {
      const run = this.#book.findRun(key);
      if (run !== undefined) {
        const own = byWorker.get(key.worker) ?? [];
        own.push(run);
        byWorker.set(key.worker, own);
      }
    }
    byWorker.forEach((own, worker) => this.#sessions.get(worker)?.start(own));
  }
}
