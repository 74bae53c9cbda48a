/**
 * Runs placement passes, commits the placements that they choose, and orders their runs.
 *
 * @module
 */
import { groupBy } from "@quetzalcove/core";
import {
  CandidateWorker,
  type JobStore,
  LookAhead,
  type RunKey,
  runPlacementPass,
  type RunRecord,
  RunStarts,
  type SchedulerSettings,
  type TimedRun,
  timedStepOf,
  type Worker,
  type WorkerSpeed,
  type WorkEstimate,
} from "@quetzalcove/core/scheduling";
import type { Clock } from "../clock.ts";
import type { Log } from "../observe/log.ts";
import type { AdmissionController } from "./admission_controller.ts";
import type { FleetController } from "./fleet_controller.ts";
import type { JobConsensus } from "./job_state_machine.ts";
import type { MemoryAdmission } from "./memory_admission.ts";
import type { PermitCache } from "./permit_cache.ts";
import { PlacementLog } from "./placement_log.ts";
import type { WorkerSessions } from "./worker_sessions.ts";

/** Dependencies of a placement controller. */
export interface PlacementControllerParts {
  consensus: JobConsensus;
  clock: Clock;
  log: Log;
  placement: SchedulerSettings["placement"];
  estimate: WorkEstimate;
  speed: WorkerSpeed;
  admission: AdmissionController;
  sessions: WorkerSessions;
  /** Undefined if the platform has no VM API. */
  fleet: FleetController | undefined;
  /** Undefined if no advisor is configured. */
  permits: PermitCache | undefined;
  memory: MemoryAdmission;
  /** Runs a synchronous function as part of an activity of the process. */
  measure: <T>(activity: string, run: () => T) => T;
  /** Called when placements were committed. */
  onChange: () => void;
}

/** Most runs of a pass, so that its log entry is applied between two heartbeats. */
const MAX_PASS_RUNS = 1_000;

export class PlacementController {
  readonly #parts: PlacementControllerParts;
  readonly #log: PlacementLog;
  readonly #runStarts: RunStarts;
  readonly #lookAhead: LookAhead;
  #isPlacing = false;
  /** Workers of the placements being committed. */
  #pendingWorkers = new Set<string>();
  #stopped = false;

  constructor(parts: PlacementControllerParts) {
    this.#parts = parts;
    this.#log = new PlacementLog(parts.log, parts.estimate);
    this.#runStarts = new RunStarts(parts.clock.monotonic());
    this.#lookAhead = new LookAhead({
      estimate: parts.estimate,
      remoteFactor: parts.placement.remoteFactor,
      runsOn: (worker) => this.#runsOn(worker),
    });
  }

  get #jobStore(): JobStore {
    return this.#parts.consensus.state;
  }

  /** Orders no more runs, also not those of placements being committed. */
  stop(): void {
    this.#stopped = true;
  }

  /** Whether a placement on a worker is still being committed. */
  hasPending(worker: string): boolean {
    return this.#pendingWorkers.has(worker);
  }

  /** Commits placements of waiting tasks, then orders their runs. */
  async place(now: number): Promise<void> {
    if (this.#isPlacing || this.#jobStore.waiting.size === 0) {
      return;
    }
    const { consensus, measure, onChange } = this.#parts;
    const runs = measure("placement", () => this.#choosePlacements(now));
    if (runs.length === 0) {
      return;
    }
    this.#isPlacing = true;
    this.#pendingWorkers = new Set(runs.map(({ worker }) => worker));
    const placed = await consensus.propose({ kind: "place", runs });
    this.#isPlacing = false;
    this.#pendingWorkers.clear();
    if (placed.ok && !this.#stopped) {
      this.#sendStarts(runs);
      onChange();
    }
  }

  #choosePlacements(now: number): RunKey[] {
    const { admission, clock, estimate, permits, sessions } = this.#parts;
    const waitingPools = new Set(
      Array.from(this.#jobStore.waiting.values(), ({ job }) => job.pool),
    );
    const candidatesOf = (
      pools: ReadonlyMap<string, readonly Worker[]>,
      isPaused: boolean,
    ): Map<string, CandidateWorker[]> =>
      new Map(
        [...pools].filter(([pool]) => waitingPools.has(pool)).map((
          [pool, workers],
        ) => [
          pool,
          workers.map((worker) => this.#candidateOf(worker, now, isPaused)),
        ]),
      );
    const candidates = candidatesOf(sessions.usableWorkers(now), false);
    const paused = candidatesOf(sessions.retriedWorkers(now), true);
    const wallNow = clock.wall();
    const { steps, placements, waits } = runPlacementPass({
      waiting: this.#jobStore.waiting.values(),
      estimate,
      candidates,
      paused,
      isPermitted: (step, worker) =>
        permits?.permit(step, worker, now) !== undefined,
      customers: {
        planned: this.#jobStore.plan.customers,
        usage: this.#jobStore.customerUsage,
      },
      lookAhead: this.#looksAhead
        ? (input) => this.#lookAhead.begin(input, now)
        : undefined,
      maxRuns: Math.min(MAX_PASS_RUNS, this.#parts.memory.runsLeft),
    }, wallNow);
    this.#log.logPlacements(placements, waits, wallNow);
    this.#log.logCustomerWaits(waits, now);
    admission.recordPlacements(placements, now);
    this.#log.logHolds(this.#lookAhead.reservations, now);
    permits?.requestMissing(
      steps,
      (step) =>
        [candidates, paused].flatMap((pools) => pools.get(step.job.pool) ?? [])
          .filter((candidate) => candidate.accepts(step))
          .map(({ worker }) => worker),
      (name) => this.#jobStore.waiting.has(name),
      now,
    );
    return placements.flatMap(({ runs }) => runs);
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
      (run) => timedStepOf(this.#jobStore, run),
    );
  }

  #candidateOf(
    worker: Worker,
    now: number,
    isPaused: boolean,
  ): CandidateWorker {
    const { fleet, sessions, speed } = this.#parts;
    const session = sessions.get(worker.id);
    return new CandidateWorker(worker, this.#jobStore.load(worker.id), {
      isDueForMaintenance: fleet?.isMaintenanceDue(worker) === true,
      mayEnd: fleet?.mayEnd(worker) === true,
      jobOnProbation: session?.jobOnProbation,
      slowness: speed.slownessOf(worker.id, now),
      isPaused,
      isSettled: () => session?.isSettled() === true,
    });
  }

  /** Orders the runs that were placed; the job store refuses those that no longer apply or that a cap forbids. */
  #sendStarts(runs: readonly RunKey[]): void {
    const { clock, log, sessions } = this.#parts;
    const refused: RunKey[] = [];
    const placed: RunRecord[] = [];
    const now = clock.monotonic();
    for (const key of runs) {
      const run = this.#jobStore.findRun(key);
      if (run === undefined) {
        refused.push(key);
        continue;
      }
      placed.push(run);
      const step = timedStepOf(this.#jobStore, run);
      if (step !== undefined) {
        this.#runStarts.record(run, step, now);
      }
    }
    if (refused.length > 0) {
      log.info("runs.refused", {
        runs: refused.length,
        first: refused[0]?.task,
      });
    }
    groupBy(placed, ({ worker }) => worker).forEach((workerRuns, worker) =>
      sessions.get(worker)?.start(workerRuns)
    );
  }
}
