/**
 * Removal of lost workers from the job store, with the runs that may have crashed them.
 *
 * @module
 */
import {
  type CrashSuspect,
  crashSuspects,
  type JobRecord,
  type JobStore,
  type LostRun,
  parseTaskName,
  type RunRecord,
} from "@quetzalcove/core/scheduling";
import type { Clock } from "../clock.ts";
import type { Log } from "../observe/log.ts";
import type { Metrics } from "../observe/metrics.ts";
import type { JobConsensus } from "./job_state_machine.ts";
import type { WorkerLoss } from "./worker_loss.ts";
import type { WorkerSession } from "./worker_session.ts";

/** Dependencies of the removal of workers. */
export interface WorkerLossesParts {
  consensus: JobConsensus;
  clock: Clock;
  log: Log;
  metrics: Metrics;
}

/** An earlier life of a worker that restarted under its id. */
export interface EndedLife {
  worker: string;
  /** Whether it had announced its end, so that no run crashed it. */
  wasDraining: boolean;
  /** Runs that ended with it. */
  ended: readonly RunRecord[];
  /** Runs that it may have started and that the next life may still start, so that they stay placed there. */
  repeated: readonly RunRecord[];
}

export class WorkerLosses {
  readonly #parts: WorkerLossesParts;
  /** Workers whose removal is not committed yet; the job store still holds them. */
  readonly #pending = new Set<string>();

  constructor(parts: WorkerLossesParts) {
    this.#parts = parts;
  }

  /** Whether the removal of a worker is being committed. */
  isPending(worker: string): boolean {
    return this.#pending.has(worker);
  }

  /** Removes a worker; resolves once that is committed or has failed. `session` is the one that it had, if any. */
  async remove(
    worker: string,
    loss: WorkerLoss,
    session: WorkerSession | undefined,
  ): Promise<void> {
    const { consensus, clock, log } = this.#parts;
    const { kind, reason } = loss;
    const lostRuns = this.#lostRuns(worker, session);
    const suspects = this.#suspectsOf(worker, loss, lostRuns, session);
    log.warn("worker.lost", { worker, kind, reason, runs: lostRuns.length });
    this.#logLostRuns(lostRuns, suspects);
    const openSuspects = this.#openSuspects(suspects);
    // The job store may hold the next life already.
    const bornAtMs = session === undefined
      ? this.#jobStore.workers.get(worker)?.bornAtMs
      : session.worker.bornAtMs;
    this.#pending.add(worker);
    await consensus.propose({
      kind: "lose",
      workers: [worker],
      haveEnded: kind !== "unreachable",
      births: bornAtMs === undefined ? {} : { [worker]: bornAtMs },
      suspects,
      atMs: clock.wall(),
    });
    this.#pending.delete(worker);
    this.#logCrashLoops(openSuspects);
  }

  /** Releases the runs that ended with the earlier life of a worker; resolves with whether that is committed. */
  async release(
    { worker, wasDraining, ended, repeated }: EndedLife,
    session: WorkerSession,
  ): Promise<boolean> {
    const { consensus, clock, metrics } = this.#parts;
    metrics.count("quetzalcove_workers_restarted_total");
    const lostRuns = ended.map((run) => this.#lostRun(run, session));
    const repeatedRuns = repeated.map((run) => this.#lostRun(run, session));
    const suspects = wasDraining
      ? []
      : crashSuspects([...lostRuns, ...repeatedRuns], true);
    this.#logLostRuns(lostRuns, suspects);
    if (ended.length + suspects.length === 0) {
      return true;
    }
    const openSuspects = this.#openSuspects(suspects);
    const committed = await consensus.propose({
      kind: "lose",
      workers: [],
      haveEnded: false,
      runs: ended.map(({ task, run }) => ({ task, run, worker })),
      suspects,
      atMs: clock.wall(),
    });
    this.#logCrashLoops(openSuspects);
    return committed.ok;
  }

  #openSuspects(suspects: readonly CrashSuspect[]): CrashSuspect[] {
    return suspects.filter(({ task }) => this.#jobOf(task)?.outcome === "open");
  }

  get #jobStore(): JobStore {
    return this.#parts.consensus.state;
  }

  #jobOf(task: string): JobRecord | undefined {
    return this.#jobStore.jobs.get(parseTaskName(task)?.job ?? "");
  }

  #lostRuns(worker: string, session: WorkerSession | undefined): LostRun[] {
    return [...this.#jobStore.load(worker).runs.values()].map((run) =>
      this.#lostRun(run, session)
    );
  }

  #lostRun(run: RunRecord, session: WorkerSession | undefined): LostRun {
    return {
      run,
      evidence: session?.evidenceOf(run) ??
        { start: "unknown", survivedMs: 0 },
      wasSuspected: this.#jobStore.isSuspected(run),
    };
  }

  /** Runs that may have crashed a worker, which is only certain if the loss is of that kind. */
  #suspectsOf(
    worker: string,
    { kind }: WorkerLoss,
    lostRuns: readonly LostRun[],
    session: WorkerSession | undefined,
  ): CrashSuspect[] {
    const isDraining = this.#jobStore.workers.get(worker)?.draining === true;
    // An order for a VM whose worker did not answer any more may have found it crashed.
    const mayHaveCrashed = kind === "crashed" || kind === "unreachable" ||
      (kind === "ordered" && session?.silentSince !== undefined);
    if (isDraining || !mayHaveCrashed) {
      return [];
    }
    return crashSuspects(lostRuns, kind === "crashed");
  }

  #logLostRuns(
    lostRuns: readonly LostRun[],
    suspects: readonly CrashSuspect[],
  ): void {
    const { log, metrics } = this.#parts;
    const suspectOf = new Map(suspects.map((each) => [each.task, each]));
    for (const { run: { task, run, worker }, evidence } of lostRuns) {
      metrics.count("quetzalcove_runs_lost_total");
      log.info("run.lost", {
        task,
        run,
        worker,
        start: evidence.start,
        survivedMs: evidence.survivedMs,
        suspect: suspectOf.has(task),
        attributed: suspectOf.get(task)?.isAttributed,
      });
    }
  }

  /** Logs the tasks whose job was open before a crash and has failed by it. */
  #logCrashLoops(openSuspects: readonly CrashSuspect[]): void {
    const { log, metrics } = this.#parts;
    for (const { task, run, worker } of openSuspects) {
      if (this.#jobOf(task)?.outcome === "failed") {
        metrics.count("quetzalcove_crash_loops_total");
        log.warn("task.crash_loop", { task, run, worker });
      }
    }
  }
}
