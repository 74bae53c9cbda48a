/**
 * Attribution of a worker's crash to the runs that may have caused it.
 *
 * Some tasks crash each worker that starts them, and what ran beside them is lost too. Such a task crashes a worker
 * soon after its start, so runs that are known to have run for a while are not suspects. A suspected task is on
 * probation after its next start: until it has run for a while, its worker gets no run of another job. If that worker
 * crashes too, no other job can be the cause. After a few such crashes the job is given up.
 *
 * Callers count only failures that workers report, so a job that can be done must never be given up for crashes that
 * have other causes.
 *
 * @module
 */
import type { CrashSuspect } from "../model/command.ts";
import type { RunRecord } from "../model/job_record.ts";
import type { Suspicion } from "../model/task_record.ts";

/** Time after its start in which a task that crashes workers has done so. */
export const PROBATION_MS = 100;

/** Crashes on probation with a confirmed start after which a task is given up. */
const MAX_CONFIRMED_CRASHES = 2;

/** The same if some of the starts were not confirmed: the worker may have crashed before one arrived. */
const MAX_ATTRIBUTED_CRASHES = 3;

/** What is known of a run's start, and for how long it is known to have run. */
export interface RunEvidence {
  /**
   * `unanswered`: this leader has sent the start, and it may have been executed. `unknown`: another leader ordered it, or
   * it was ordered to an earlier life of the worker, so that it may have run for long.
   */
  start: "unsent" | "unanswered" | "confirmed" | "unknown";
  survivedMs: number;
}

/** A run on a worker that crashed. */
export interface LostRun {
  run: RunRecord;
  evidence: RunEvidence;
  /** Whether its task was a suspect of an earlier crash. */
  wasSuspected: boolean;
}

/**
 * The runs that may have crashed their worker, as far as this leader knows; none if all are known to have run for a
 * while. Runs on probation come first: what else was there had started before them, and would have crashed the worker
 * before. `hasCrashed` tells whether the worker certainly crashed: it may also be cut off, or ended by an order.
 */
export function crashSuspects(
  runs: readonly LostRun[],
  hasCrashed: boolean,
): CrashSuspect[] {
  const fresh = runs.filter(({ evidence }) =>
    evidence.start !== "unsent" && evidence.survivedMs < PROBATION_MS
  );
  const possible = fresh.filter(({ evidence }) => evidence.start !== "unknown");
  const onProbation = possible.filter(({ wasSuspected, evidence }) =>
    wasSuspected && evidence.start === "confirmed"
  );
  const suspects = onProbation.length > 0 ? onProbation : possible;
  const others = fresh.filter(({ evidence }) => evidence.start === "unknown");
  const jobs = new Set([...suspects, ...others].map(({ run }) => run.job));
  return suspects.map(
    ({ run: { task, run, worker }, evidence, wasSuspected }) => ({
      task,
      run,
      worker,
      isConfirmed: evidence.start === "confirmed" && hasCrashed,
      isAttributed: hasCrashed && wasSuspected && jobs.size === 1,
    }),
  );
}

/** The suspicion against a task after one more crash. */
export function addCrash(
  suspicion: Suspicion | undefined,
  { isAttributed, isConfirmed }: Pick<
    CrashSuspect,
    "isAttributed" | "isConfirmed"
  >,
): Suspicion {
  const { crashes, confirmed } = suspicion ?? { crashes: 0, confirmed: 0 };
  return isAttributed
    ? { crashes: crashes + 1, confirmed: confirmed + Number(isConfirmed) }
    : { crashes, confirmed };
}

/** Whether a task is given up. */
export function isCrashLoop({ crashes, confirmed }: Suspicion): boolean {
  return confirmed >= MAX_CONFIRMED_CRASHES ||
    crashes >= MAX_ATTRIBUTED_CRASHES;
}
