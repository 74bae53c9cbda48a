/**
 * One leadership term: sessions with all workers, and passes that place waiting tasks.
 *
 * @module
 */
import {
  ArrivalRates,
  type JobStore,
  poolDemands,
  roundBytes,
  type SubmittedJob,
  WorkerHealth,
  WorkerSpeed,
  WorkEstimate,
} from "@quetzalcove/core/scheduling";
import { type Fault, Ok, type Result } from "@quetzalcove/core";
import { type Component, ticker } from "../lifecycle.ts";
import { AdmissionController } from "./admission_controller.ts";
import { BACKLOG_LOG_INTERVAL_MS, logBacklogs } from "./backlog_log.ts";
import { FleetController } from "./fleet_controller.ts";
import type { MemoryAdmission } from "./memory_admission.ts";
import { PermitCache } from "./permit_cache.ts";
import { PlacementController } from "./placement_controller.ts";
import type { AdvisorClient, VmClient } from "./platform_clients.ts";
import type { LeadershipTermStatus } from "./status.ts";
import type { WorkerSessionParts } from "./worker_session_parts.ts";
import { WorkerSessions } from "./worker_sessions.ts";

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
    | "startWindow"
    | "unansweredStarts"
  > {
  retentionMs: number;
  memory: MemoryAdmission;
  /** Whether a pool with a backlog gives up busy VMs to pools whose jobs can still meet their objective. */
  reclaimsBusyVms: boolean;
  /** Undefined if the platform has no VM API. */
  vmClient: VmClient | undefined;
  /** Undefined if no advisor is configured. */
  advisorClient: AdvisorClient | undefined;
  /** Name of this node in its orders for VMs. */
  holder: string;
}

/** Interval of passes that nothing else triggers; bounds the delay of retried orders. */
const PASS_INTERVAL_MS = 100;

/** Pause after a pass, as a multiple of its duration, so that passes take at most a third of one core. */
const PASS_PAUSE_FACTOR = 2;

/** Shortest pause after a pass, so that the changes of some round trips share one pass and one log entry. */
const MIN_PASS_PAUSE_MS = 20;

/** Time before the latest end that the earlier leader knew of within which it may have logged none. */
const UNLOGGED_ENDS_MS = 1_000;

/** Interval at which jobs past their retention time are removed from the job store. */
const PRUNE_INTERVAL_MS = 10_000;

export class LeadershipTerm implements Component {
  readonly name = "tenure";
  readonly #parts: LeadershipTermParts;
  readonly #sessions: WorkerSessions;
  readonly #ticker: Component;
  readonly #rates: ArrivalRates;
  readonly #estimate = new WorkEstimate();
  readonly admission: AdmissionController;
  readonly #fleet: FleetController | undefined;
  readonly #permits: PermitCache | undefined;
  readonly #placements: PlacementController;
  #passDue = false;
  #stopped = false;
  #prunedAt: number;
  #backlogLoggedAt = -Infinity;
  #nextPassAt = -Infinity;

  constructor(parts: LeadershipTermParts) {
    this.#parts = parts;
    const estimate = this.#estimate;
    const speed = new WorkerSpeed(parts.settings.avoidSlow);
    const onChange = (): void => this.wake();
    this.admission = new AdmissionController({ ...parts, estimate });
    const now = parts.clock.monotonic();
    this.#rates = new ArrivalRates(now);
    this.#prunedAt = now;
    this.#ticker = ticker("passes", PASS_INTERVAL_MS, () => this.#pass());
    const health = new WorkerHealth();
    this.#sessions = new WorkerSessions({
      ...parts,
      estimate,
      health,
      speed,
      permit: (step, worker) =>
        this.#permits?.permit(step, worker, parts.clock.monotonic()),
      isCordoned: (worker) => this.#fleet?.isCordoned(worker) === true,
      onChange,
    });
    this.#fleet = parts.vmClient && new FleetController({
      ...parts,
      client: parts.vmClient,
      rates: this.#rates,
      estimate,
      session: (worker) => this.#sessions.get(worker),
      sessions: () => this.#sessions.values(),
      hasPendingPlacement: (worker) => this.#placements.hasPending(worker),
      isTrusted: (worker, now) => health.isTrusted(worker, now),
      removeWorker: (worker, loss) => this.#sessions.removeWorker(worker, loss),
      onChange,
    });
    this.#permits = parts.advisorClient && new PermitCache({
      ...parts,
      client: parts.advisorClient,
      onChange,
    });
    this.#placements = new PlacementController({
      ...parts,
      estimate,
      speed,
      admission: this.admission,
      sessions: this.#sessions,
      fleet: this.#fleet,
      permits: this.#permits,
      onChange,
    });
  }

  get #jobStore(): JobStore {
    return this.#parts.consensus.state;
  }

  start(): Promise<void> {
    const { log, term } = this.#parts;
    log.info("tenure.started", {
      term,
      workers: this.#jobStore.workers.size,
      mayGoDown: this.#jobStore.vmsGoingDown().join(),
      mayMove: [...this.#jobStore.moves.keys()].join(),
    });
    this.#skipLoggedEnds();
    this.#sessions.sync();
    return this.#ticker.start();
  }

  async stop(): Promise<void> {
    this.#stopped = true;
    this.#fleet?.stop();
    this.#placements.stop();
    this.#sessions.stop();
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

  /** Accepts or refuses a submission that is not stored. */
  accept(job: SubmittedJob): Result<void, Fault> {
    const { log } = this.#parts;
    const placeable = this.#fleet?.checkPlaceable(job.spec) ?? Ok.EMPTY;
    if (placeable.err) {
      const reason = placeable.val.message;
      log.info("job.refused", { job: job.id, queue: job.queue, reason });
      return placeable;
    }
    return this.admission.accept(job);
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

  /** Stops the runs of a worker that has announced its end; resolves when they have ended, or after a while. */
  vacate(worker: string): Promise<void> {
    return this.#sessions.vacate(worker);
  }

  #pass(): void {
    if (this.#stopped || !this.#parts.isConfirmedLeader()) {
      return;
    }
    const now = this.#parts.clock.monotonic();
    this.#sessions.sync();
    this.#sessions.stopUnwantedRuns();
    this.#openRounds();
    this.#pruneEndedJobs(now);
    this.#parts.memory.observe(now);
    this.#logEndedJobs();
    this.#logBacklogs(now);
    const { measure } = this.#parts;
    measure("admission", () => {
      this.admission.refresh(() => this.#sessions.usableWorkers(now), now);
    });
    measure("fleet", () => this.#fleet?.reconcile(now));
    measure("orders", () => this.#sessions.sendDue());
    void this.#placements.place(now);
    const end = this.#parts.clock.monotonic();
    this.#nextPassAt = end +
      Math.max(MIN_PASS_PAUSE_MS, PASS_PAUSE_FACTOR * (end - now));
  }

  #openRounds(): void {
    const { consensus, clock, memory } = this.#parts;
    const wall = clock.wall();
    const rounds: { job: string; round: number }[] = [];
    let openedBytes = 0;
    for (const job of this.#jobStore.repeated) {
      const { spec } = job;
      const repeat = spec?.repeat;
      if (
        spec !== undefined && repeat !== undefined &&
        job.opened < repeat.count &&
        wall >= repeat.startAtMs + job.opened * repeat.intervalMs &&
        memory.hasRoom(job, openedBytes + roundBytes(spec))
      ) {
        openedBytes += roundBytes(spec);
        rounds.push({ job: job.id, round: job.opened });
      }
    }
    if (rounds.length > 0) {
      void consensus.propose({ kind: "open", rounds }).then(() => this.wake());
    }
  }

  /**
   * Skips the ends that an earlier leader logged; this leader has more urgent work. Failures, of which there are few, are
   * logged again, since the earlier leader may have ended right after one was committed.
   */
  #skipLoggedEnds(): void {
    const { justEnded } = this.#jobStore;
    const latest = Math.max(...justEnded.map((job) => job.endedAtMs ?? 0));
    const unlogged = justEnded.filter(({ endedAtMs = 0, outcome }) =>
      outcome === "failed" || endedAtMs > latest - UNLOGGED_ENDS_MS
    );
    justEnded.splice(0, justEnded.length, ...unlogged);
  }

  #logEndedJobs(): void {
    for (const job of this.#jobStore.justEnded.splice(0)) {
      this.#parts.log.info("job.ended", {
        job: job.id,
        queue: job.queue,
        outcome: job.outcome,
        cause: job.failure?.cause,
        task: job.failure?.task,
        count: job.failure?.count,
        attempts: job.failure && job.terms.maxAttempts,
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
    const usableWorkers = this.#sessions.usableWorkers(now);
    const leftOutWorkers = this.#sessions.leftOutWorkers(now);
    logBacklogs(
      { jobStore, demands, usableWorkers, leftOutWorkers, estimate },
      log,
      clock.wall(),
    );
  }

  #pruneEndedJobs(now: number): void {
    const { consensus, clock, retentionMs } = this.#parts;
    if (now - this.#prunedAt >= PRUNE_INTERVAL_MS) {
      this.#prunedAt = now;
      this.#sessions.prune(now);
      const endedBeforeMs = clock.wall() - retentionMs;
      void consensus.propose({ kind: "forget", endedBeforeMs });
    }
  }
}
