/**
 * One leadership term: sessions with all workers, and passes that place waiting tasks.
 *
 * @module
 */
import {
  ArrivalRates,
  CandidateWorker,
  isLaterLife,
  type JobStore,
  LONGEST_ORDER_DELAY_MS,
  LookAhead,
  poolDemands,
  type RunKey,
  runPlacementPass,
  type RunRecord,
  RunStarts,
  type SchedulerSettings,
  type StepPlacement,
  type StepWait,
  type SubmittedJob,
  type TimedRun,
  type TimedStep,
  UnansweredStarts,
  type WaitingStep,
  type WaitReason,
  type Worker,
  WorkerHealth,
  WorkerSpeed,
  WorkEstimate,
} from "@quetzalcove/core/scheduling";
import { type Component, ticker } from "../lifecycle.ts";
import { AdmissionController } from "./admission_controller.ts";
import { logBacklogs } from "./backlog_log.ts";
import { logCustomerWaits } from "./customer_wait_log.ts";
import { FleetController } from "./fleet_controller.ts";
import { PermitCache } from "./permit_cache.ts";
import type { AdvisorClient, VmClient } from "./platform_clients.ts";
import { RunEndBatcher } from "./run_end_batcher.ts";
import type { LeadershipTermStatus } from "./status.ts";
import { WorkerLosses } from "./worker_losses.ts";
import type { WorkerLoss } from "./worker_loss.ts";
import { type EarlierLife, WorkerSession } from "./worker_session.ts";
import type { WorkerSessionParts } from "./worker_session_parts.ts";

/** Dependencies of a leadership term. */
export interface LeadershipTermParts extends
  Omit<
    WorkerSessionParts,
    | "onBirth"
    | "onChange"
    | "onLost"
    | "estimate"
    | "health"
    | "speed"
    | "permit"
    | "runEndBatcher"
    | "unansweredStarts"
  > {
  retentionMs: number;
  /** Whether a pool with a backlog gives up busy VMs to pools whose jobs can still meet their objective. */
  reclaimsBusyVms: boolean;
  placement: SchedulerSettings["placement"];
  /** Undefined if the platform has no VM API. */
  vmClient: VmClient | undefined;
  /** Undefined if no advisor is configured. */
  advisorClient: AdvisorClient | undefined;
  /** Name of this node in its orders for VMs. */
  holder: string;
  /** Runs a synchronous function and adds its duration to an activity of the process. */
  measure: <T>(activity: string, run: () => T) => T;
}

/** Interval of passes that nothing else triggers; bounds the delay of retried orders. */
const PASS_INTERVAL_MS = 100;

/** Pause after a pass, as a multiple of its duration, so that passes take at most a third of one core. */
const PASS_PAUSE_FACTOR = 2;

/** Shortest pause after a pass, so that the changes of some round trips share one pass and one log entry. */
const MIN_PASS_PAUSE_MS = 20;

/** Interval at which jobs past their retention time are removed from the job store. */
const PRUNE_INTERVAL_MS = 10_000;

/** Interval at which backlogs, and the customers that wait, are logged while steps wait. */
const BACKLOG_LOG_INTERVAL_MS = 500;

export class LeadershipTerm implements Component {
  readonly name = "tenure";
  readonly #parts: LeadershipTermParts;
  readonly #sessions = new Map<string, WorkerSession>();
  readonly #ticker: Component;
  readonly #rates: ArrivalRates;
  readonly #estimate = new WorkEstimate();
  readonly #health = new WorkerHealth();
  readonly #runStarts: RunStarts;
  readonly #lookAhead: LookAhead;
  readonly #speed = new WorkerSpeed();
  readonly #runEndBatcher: RunEndBatcher;
  readonly #losses: WorkerLosses;
  readonly #unansweredStarts = new UnansweredStarts();
  /** When the latest session with each worker ended, in monotonic milliseconds; kept while its orders may arrive. */
  readonly #sessionEndedAt = new Map<string, number>();
  readonly admission: AdmissionController;
  readonly #fleet: FleetController | undefined;
  readonly #permits: PermitCache | undefined;
  #passDue = false;
  #isPlacing = false;
  /** Workers of the placements being committed. */
  #placementWorkers = new Set<string>();
  #stopped = false;
  #prunedAt: number;
  #backlogLoggedAt = -Infinity;
  #customerWaitsLoggedAt = -Infinity;
  #nextPassAt = -Infinity;

  constructor(parts: LeadershipTermParts) {
    this.#parts = parts;
    this.#runEndBatcher = new RunEndBatcher(parts);
    this.#losses = new WorkerLosses(parts);
    this.admission = new AdmissionController({
      ...parts,
      estimate: this.#estimate,
    });
    const now = parts.clock.monotonic();
    this.#rates = new ArrivalRates(now);
    this.#prunedAt = now;
    this.#runStarts = new RunStarts(now);
    this.#lookAhead = new LookAhead({
      estimate: this.#estimate,
      remoteFactor: parts.placement.remoteFactor,
      runsOn: (worker) => this.#runsOn(worker),
    });
    this.#ticker = ticker("passes", PASS_INTERVAL_MS, () => this.#pass());
    this.#fleet = parts.vmClient && new FleetController({
      ...parts,
      client: parts.vmClient,
      rates: this.#rates,
      estimate: this.#estimate,
      session: (worker) => this.#sessions.get(worker),
      sessions: () => this.#sessions.values(),
      hasPendingPlacement: (worker) => this.#placementWorkers.has(worker),
      removeWorker: (worker, loss) => this.#removeWorker(worker, loss),
      onChange: () => this.wake(),
    });
    this.#permits = parts.advisorClient && new PermitCache({
      ...parts,
      client: parts.advisorClient,
      onChange: () => this.wake(),
    });
  }

  get #jobStore(): JobStore {
    return this.#parts.consensus.state;
  }

  start(): Promise<void> {
    const { log, term } = this.#parts;
    log.info("tenure.started", { term, workers: this.#jobStore.workers.size });
    this.#syncSessions();
    return this.#ticker.start();
  }

  async stop(): Promise<void> {
    this.#stopped = true;
    this.#fleet?.stop();
    this.#sessions.forEach((session) => session.stop());
    this.#sessions.clear();
    await this.#ticker.stop();
    this.#parts.log.info("tenure.ended", { term: this.#parts.term });
  }

  /** Current status, for operators. */
  describe(): Omit<LeadershipTermStatus, "relays"> {
    const now = this.#parts.clock.monotonic();
    const demands = poolDemands(
      this.#jobStore,
      this.#rates,
      this.#estimate,
      now,
    );
    return {
      term: this.#parts.term,
      customers: this.admission.describe(),
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

  /** Schedules a pass: in the next turn of the event loop, or after the pause due since the last one. */
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

  /** Records that a job was accepted. */
  recordArrival(job: SubmittedJob): void {
    const record = this.#jobStore.jobs.get(job.id);
    if (record !== undefined) {
      const now = this.#parts.clock.monotonic();
      const coreMs = (): number => this.#estimate.jobCoreMs(record);
      if (coreMs() > 0) {
        this.#rates.record(job.pool, coreMs, now, job.customer);
        this.#fleet?.recordArrival(now);
      }
    }
  }

  /** Workers that may get new runs, by pool. Untrusted ones, where runs fail or hang, only if the pool has no other. */
  #usableWorkers(now: number): Map<string, Worker[]> {
    const pools = new Map<string, Worker[]>();
    const untrusted: Worker[] = [];
    for (const session of this.#sessions.values()) {
      const { worker } = session;
      if (!session.isUsable(now) || this.#fleet?.isCordoned(worker) === true) {
        continue;
      }
      if (this.#health.isTrusted(worker.id, now)) {
        const trusted = pools.get(worker.pool) ?? [];
        trusted.push(worker);
        pools.set(worker.pool, trusted);
      } else {
        untrusted.push(worker);
      }
    }
    for (const worker of untrusted) {
      if (!pools.has(worker.pool)) {
        pools.set(worker.pool, [worker]);
      }
    }
    return pools;
  }

  #pass(): void {
    if (this.#stopped || !this.#parts.isConfirmedLeader()) {
      return;
    }
    const now = this.#parts.clock.monotonic();
    this.#syncSessions();
    this.#stopUnwantedRuns();
    this.#openRounds();
    this.#pruneEndedJobs(now);
    this.#logEndedJobs();
    this.#logBacklogs(now);
    const { measure } = this.#parts;
    measure("admission", () => {
      this.admission.refresh(() => this.#usableWorkers(now), now);
    });
    measure("fleet", () => this.#fleet?.reconcile(now));
    measure("orders", () => {
      this.#sessions.forEach((session) => session.sendDue());
    });
    void this.#place(now);
    const end = this.#parts.clock.monotonic();
    this.#nextPassAt = end +
      Math.max(MIN_PASS_PAUSE_MS, PASS_PAUSE_FACTOR * (end - now));
  }

  /** Brings the sessions in line with the workers of the job store. */
  #syncSessions(): void {
    const { workers } = this.#jobStore;
    for (const [id, session] of this.#sessions) {
      const worker = workers.get(id);
      if (worker === undefined) {
        session.stop();
        this.#removeSession(id);
      } else if (isLaterLife(session.worker.bornAtMs, worker.bornAtMs)) {
        this.#replaceSession(session, worker);
      } else {
        session.worker = worker;
      }
    }
    for (const worker of workers.values()) {
      if (
        !this.#sessions.has(worker.id) &&
        !this.#losses.isPending(worker.id)
      ) {
        this.#openSession(worker);
      }
    }
  }

  /** Opens a session with the next life of a worker. */
  #replaceSession(session: WorkerSession, worker: Worker): void {
    const { id, draining } = session.worker;
    session.supersede();
    this.#removeSession(id);
    this.#health.remove(id);
    this.#speed.remove(id);
    this.#openSession(worker, {
      evidenceOf: (run) => session.evidenceOf(run),
      release: async (ended, repeated) => {
        const isReleased = await this.#losses.release(
          { worker: id, wasDraining: draining, ended, repeated },
          session,
        );
        this.wake();
        return isReleased;
      },
    });
  }

  #removeSession(id: string): void {
    this.#sessions.delete(id);
    this.#sessionEndedAt.set(id, this.#parts.clock.monotonic());
  }

  /** Stores the birth that a listing named: that of a worker of which none was known, or that of its next life. */
  async #recordBirth(id: string, bornAtMs: number): Promise<void> {
    const known = this.#jobStore.workers.get(id);
    const isNews = known !== undefined && (known.bornAtMs === undefined ||
      isLaterLife(known.bornAtMs, bornAtMs));
    if (isNews) {
      const isRestart = known.bornAtMs !== undefined;
      const worker = isRestart
        ? {
          ...known,
          bornAtMs,
          draining: false,
          hasLeft: false,
          reportNumber: undefined,
        }
        : { ...known, bornAtMs };
      this.#parts.log.info("worker.born", { worker: id, bornAtMs, isRestart });
      const joined = await this.#parts.consensus.propose({
        kind: "join",
        workers: [worker],
      });
      if (!joined.ok && isRestart) {
        this.#removeSession(id);
      }
    }
    this.wake();
  }

  #openSession(worker: Worker, earlier?: EarlierLife): void {
    const session = new WorkerSession(worker, {
      ...this.#parts,
      runEndBatcher: this.#runEndBatcher,
      estimate: this.#estimate,
      health: this.#health,
      speed: this.#speed,
      permit: (step, id) =>
        this.#permits?.permit(step, id, this.#parts.clock.monotonic()),
      unansweredStarts: this.#unansweredStarts,
      onBirth: (id, bornAtMs) => void this.#recordBirth(id, bornAtMs),
      onChange: () => this.wake(),
      onLost: (id, loss) => void this.#removeWorker(id, loss),
    }, { earlier, hasRestarted: this.#sessionEndedAt.has(worker.id) });
    this.#sessions.set(worker.id, session);
    void session.run();
  }

  async #removeWorker(id: string, loss: WorkerLoss): Promise<void> {
    if (this.#losses.isPending(id)) {
      return;
    }
    const session = this.#sessions.get(id);
    session?.stop();
    this.#removeSession(id);
    this.#health.remove(id);
    this.#speed.remove(id);
    await this.#losses.remove(id, loss, session);
    this.wake();
  }

  #stopUnwantedRuns(): void {
    for (const run of this.#jobStore.runsToStop) {
      this.#sessions.get(run.worker)?.requestStop(run);
    }
  }

  #openRounds(): void {
    const { consensus, clock } = this.#parts;
    const wall = clock.wall();
    const rounds: { job: string; round: number }[] = [];
    for (const job of this.#jobStore.repeated) {
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
    for (const job of this.#jobStore.justEnded.splice(0)) {
      this.#parts.log.info("job.ended", {
        job: job.id,
        queue: job.queue,
        outcome: job.outcome,
        tookMs: Math.round((job.endedAtMs ?? 0) - job.acceptedAtMs),
        runsLeft: job.activeRuns,
      });
    }
  }

  #logBacklogs(now: number): void {
    if (now - this.#backlogLoggedAt < BACKLOG_LOG_INTERVAL_MS) {
      return;
    }
    this.#backlogLoggedAt = now;
    const jobStore = this.#jobStore;
    const estimate = this.#estimate;
    const { log, clock } = this.#parts;
    const demands = poolDemands(jobStore, this.#rates, estimate, now);
    const usableWorkers = this.#usableWorkers(now);
    logBacklogs(
      { jobStore, demands, usableWorkers, estimate },
      log,
      clock.wall(),
    );
  }

  #pruneEndedJobs(now: number): void {
    const { consensus, clock, retentionMs } = this.#parts;
    if (now - this.#prunedAt >= PRUNE_INTERVAL_MS) {
      this.#prunedAt = now;
      this.#unansweredStarts.prune(now);
      this.#forgetEndedSessions(now);
      const endedBeforeMs = clock.wall() - retentionMs;
      void consensus.propose({ kind: "forget", endedBeforeMs });
    }
  }

  #forgetEndedSessions(now: number): void {
    for (const [id, endedAt] of this.#sessionEndedAt) {
      if (now - endedAt > LONGEST_ORDER_DELAY_MS) {
        this.#sessionEndedAt.delete(id);
      }
    }
  }

  /** Commits placements of waiting tasks, then orders their runs. */
  async #place(now: number): Promise<void> {
    if (this.#isPlacing || this.#jobStore.waiting.size === 0) {
      return;
    }
    const runs = this.#parts.measure(
      "placement",
      () => this.#choosePlacements(now),
    );
    if (runs.length === 0) {
      return;
    }
    this.#isPlacing = true;
    this.#placementWorkers = new Set(runs.map(({ worker }) => worker));
    const placed = await this.#parts.consensus.propose({ kind: "place", runs });
    this.#isPlacing = false;
    this.#placementWorkers.clear();
    if (placed.ok && !this.#stopped) {
      this.#sendStarts(runs);
      this.wake();
    }
  }

  #choosePlacements(now: number): RunKey[] {
    const candidates = new Map<string, CandidateWorker[]>();
    for (const [pool, workers] of this.#usableWorkers(now)) {
      candidates.set(
        pool,
        workers.map((worker) => this.#candidateOf(worker, now)),
      );
    }
    const { steps, placements, waits } = runPlacementPass({
      waiting: this.#jobStore.waiting.values(),
      estimate: this.#estimate,
      candidates,
      isPermitted: (step, worker) =>
        this.#permits?.permit(step, worker, now) !== undefined,
      customers: {
        planned: this.#jobStore.plan.customers,
        usage: this.#jobStore.customerUsage,
      },
      lookAhead: this.#looksAhead
        ? (input) => this.#lookAhead.begin(input, now)
        : undefined,
    }, this.#parts.clock.wall());
    this.#logPlacements(placements, waits);
    this.#logCustomerWaits(waits, now);
    this.admission.recordPlacements(placements, now);
    this.#logHolds(now);
    this.#permits?.requestMissing(
      steps,
      (step) =>
        (candidates.get(step.job.pool) ?? [])
          .filter((candidate) => candidate.accepts(step))
          .map(({ worker }) => worker),
      (name) => this.#jobStore.waiting.has(name),
      now,
    );
    return placements.flatMap(({ runs }) => runs);
  }

  #logPlacements(
    placements: readonly StepPlacement[],
    waits: readonly StepWait[],
  ): void {
    if (placements.length === 0) {
      return;
    }
    const reasons = new Map<WaitingStep, WaitReason>(
      waits.map(({ step, reason }) => [step, reason]),
    );
    for (const { step, runs } of placements) {
      this.#parts.log.info("step.placed", {
        step: step.name,
        tasks: runs.length,
        waiting: step.indices.size - runs.length,
        workers: new Set(runs.map(({ worker }) => worker)).size,
        reason: reasons.get(step),
      });
    }
  }

  #logCustomerWaits(waits: readonly StepWait[], now: number): void {
    if (now - this.#customerWaitsLoggedAt >= BACKLOG_LOG_INTERVAL_MS) {
      this.#customerWaitsLoggedAt = now;
      logCustomerWaits(waits, this.#parts.log);
    }
  }

  /** Logs the workers that were given to a large step which has waited too long. */
  #logHolds(now: number): void {
    for (const plan of this.#lookAhead.reservations.values()) {
      for (const { step, worker, startsAt, since, isHeld } of plan) {
        if (isHeld && since === now) {
          const startsInMs = Math.round(startsAt - now);
          this.#parts.log.info("step.holds", { step, worker, startsInMs });
        }
      }
    }
  }

  /** Whether placement considers what will end soon. */
  get #looksAhead(): boolean {
    const { lookAhead } = this.#parts.placement;
    return lookAhead === "always" ||
      (lookAhead === "customers" && this.#jobStore.plan.customers.length > 0);
  }

  /** Runs on a worker, for their expected ends. */
  #runsOn(worker: string): TimedRun[] {
    return this.#runStarts.of(
      this.#jobStore.load(worker).runs.values(),
      (run) => this.#timedStepOf(run),
    );
  }

  #timedStepOf(run: RunRecord): TimedStep | undefined {
    const job = this.#jobStore.jobs.get(run.job);
    const spec = this.#jobStore.stepOf(run);
    return job === undefined || spec === undefined ? undefined : { job, spec };
  }

  #candidateOf(worker: Worker, now: number): CandidateWorker {
    const session = this.#sessions.get(worker.id);
    return new CandidateWorker(worker, this.#jobStore.load(worker.id), {
      isDueForMaintenance: this.#fleet?.isMaintenanceDue(worker) === true,
      jobOnProbation: session?.jobOnProbation,
      slowness: this.#speed.slownessOf(worker.id, now),
      isSettled: () => session?.isSettled() === true,
    });
  }

  /** Orders the runs that were placed; the job store refuses those that no longer apply or that a cap forbids. */
  #sendStarts(runs: readonly RunKey[]): void {
    const refused: RunKey[] = [];
    const byWorker = new Map<string, RunRecord[]>();
    const now = this.#parts.clock.monotonic();
    for (const key of runs) {
      const run = this.#jobStore.findRun(key);
      if (run !== undefined) {
        const workerRuns = byWorker.get(key.worker) ?? [];
        workerRuns.push(run);
        const step = this.#timedStepOf(run);
        if (step !== undefined) {
          this.#runStarts.record(run, step, now);
        }
        byWorker.set(key.worker, workerRuns);
      } else {
        refused.push(key);
      }
    }
    if (refused.length > 0) {
      this.#parts.log.info("runs.refused", {
        runs: refused.length,
        first: refused[0]?.task,
      });
    }
    byWorker.forEach((workerRuns, worker) =>
      this.#sessions.get(worker)?.start(workerRuns)
    );
  }
}
