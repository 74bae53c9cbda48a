/**
 * How long the runs on one worker are known to have run, and which of them are on probation.
 *
 * @module
 */
import {
  type ListedRun,
  PROBATION_MS,
  type RunEvidence,
  type RunRecord,
  RunSurvival,
} from "@quetzalcove/core/scheduling";
import type { WorkerSessionParts } from "./worker_session_parts.ts";

/** Dependencies of the probation of runs. */
export interface RunProbationParts
  extends Pick<WorkerSessionParts, "consensus" | "runEndBatcher" | "onChange"> {
  /** Whether the start of a run was certainly not sent. */
  isUnsent: (run: RunRecord) => boolean;
}

export class RunProbation {
  readonly #parts: RunProbationParts;
  readonly #survival = new RunSurvival();
  /** Runs of suspected tasks that may still be on probation. */
  readonly #onProbation = new Set<RunRecord>();
  /** Runs that another leader ordered, or that were ordered to an earlier life of the worker, by task. */
  readonly #adopted = new Map<string, number>();

  constructor(parts: RunProbationParts) {
    this.#parts = parts;
  }

  /** Job that has runs on probation here, so that the worker must get no run of another one. */
  get job(): string | undefined {
    const [run] = this.#onProbation;
    return run?.job;
  }

  /** What is known of the start of a run and of how long it ran. */
  evidenceOf(run: RunRecord): RunEvidence {
    const survivedMs = this.#survival.survivedMs(run.task, run.run);
    if (this.#adopted.get(run.task) === run.run) {
      return { start: "unknown", survivedMs: survivedMs ?? 0 };
    }
    if (survivedMs !== undefined) {
      return { start: "confirmed", survivedMs };
    }
    const isUnsent = this.#parts.isUnsent(run);
    return { start: isUnsent ? "unsent" : "unanswered", survivedMs: 0 };
  }

  /** Whether a run is known to have run for a while. */
  hasSurvived(run: RunRecord): boolean {
    return this.evidenceOf(run).survivedMs >= PROBATION_MS;
  }

  /** Puts a run on probation if its task may have crashed a worker. */
  add(run: RunRecord): void {
    if (this.#parts.consensus.state.isSuspected(run)) {
      this.#onProbation.add(run);
    }
  }

  /** The same for a run whose start this session did not order, so that it may have run for long. */
  adopt(run: RunRecord): void {
    this.#adopted.set(run.task, run.run);
    this.add(run);
  }

  isOnProbation(run: RunRecord): boolean {
    return this.#onProbation.has(run);
  }

  /** Records that the worker answered when its clock showed `clockMs`. */
  recordAnswer(clockMs: number): void {
    this.#survival.recordAnswer(clockMs);
  }

  /** Records that the worker confirmed a start when its clock showed `clockMs`. */
  recordStart({ task, run }: RunRecord, clockMs: number): void {
    this.#survival.recordStart(task, run, clockMs);
  }

  /** Records what the worker lists, and ends the probation of runs that have ended or have run for a while. */
  recordListing(running: readonly ListedRun[], clockMs: number): void {
    this.#survival.recordListing(running, clockMs);
    this.#endProbations();
  }

  /** Deletes what is known of runs that are not held any more. */
  retain(isHeld: (task: string, run: number) => boolean): void {
    this.#survival.retain(isHeld);
    for (const [task, run] of this.#adopted) {
      if (!isHeld(task, run)) {
        this.#adopted.delete(task);
      }
    }
  }

  /** Ends the probation of runs that have ended or have run for a while; the latter are cleared. */
  #endProbations(): void {
    const { consensus, runEndBatcher, onChange } = this.#parts;
    const isHeld = (run: RunRecord): boolean =>
      consensus.state.findRun(run) !== undefined;
    const over = [...this.#onProbation].filter((run) =>
      !isHeld(run) || this.hasSurvived(run)
    );
    if (over.length === 0) {
      return;
    }
    over.forEach((run) => this.#onProbation.delete(run));
    const cleared = over.filter(isHeld).map(({ task, run, worker }) => ({
      task,
      run,
      worker,
    }));
    void runEndBatcher.add([], [], cleared);
    onChange();
  }
}
